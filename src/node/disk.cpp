#include "node/disk.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <stdexcept>

namespace knotvane::node {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// Tree nodes that are taken down at once: some hundred microseconds of a stand-in's time.
constexpr std::size_t piece = 64;
constexpr Time piece_time = 200 * us;

} // namespace

struct Disk::Peer final : node_protocol::Sink {
    Disk &disk;
    ConnId conn;
    Time now = 0;
    bool greeted = false, mute = false;
    node_protocol::Reader reader;

    Peer(Disk &d, ConnId c) : disk(d), conn(c) {}
    bool frame(node_protocol::Kind kind, std::uint8_t flags, node_protocol::Status,
               std::uint64_t tag, VolumeId volume, std::uint64_t offset, std::uint32_t length,
               std::uint32_t units, std::uint64_t incarnation, std::uint64_t number, Time not_after,
               ShardId shard, std::string_view payload, std::uint32_t epoch) override {
        if (kind == node_protocol::Kind::hello) {
            greeted = true;
            disk.shell_.send(
                conn, node_protocol::make(node_protocol::Kind::welcome, 0,
                                          node_protocol::Status::ok, disk.id_.value, VolumeId{0},
                                          static_cast<std::uint64_t>(disk.started_), 0, 0,
                                          disk.store_.incarnation(), 0, now, disk.shard_, {}));
            return true;
        }
        if (!greeted) {
            disk.shell_.say("an ask came before the hello; the connection is closed");
            disk.drop(conn, false);
            return false;
        }
        if (kind == node_protocol::Kind::cancel_attempt) {
            // Only what waits is dropped: work that runs goes on.
            auto of_it = [&](const Ask &a) { return a.conn == conn && a.tag == tag; };
            if (auto it = std::find_if(disk.waiting_.begin(), disk.waiting_.end(), of_it);
                it != disk.waiting_.end()) {
                disk.answer(now, *it, node_protocol::Status::called_off);
                disk.waiting_.erase(it);
            }
            return true;
        }
        Ask ask{conn,   kind,           flags,       tag,    volume,    offset,
                length, units / 1000.0, incarnation, number, not_after, std::string(payload),
                epoch};
        if (shard != disk.shard_) {
            disk.answer(now, ask, node_protocol::Status::misdirected);
            return true;
        }
        disk.take(now, std::move(ask));
        return disk.peers_.contains(conn);
    }
};

Disk::Disk(NodeId id, ShardId shard, Store &store, Shell &shell, std::uint64_t seed, Time now)
    : id_(id), shard_(shard), store_(store), shell_(shell),
      chance_(static_cast<std::uint32_t>(seed)), started_(now) {}

void Disk::set_speed(Time unit_time, std::uint32_t cores, std::uint32_t slots, std::uint32_t room) {
    unit_time_ = unit_time, cores_ = std::max(1u, cores), slots_ = std::max(1u, slots),
    room_ = room;
}
void Disk::set_cold(double start_part, Time warm_after, Time span, double multiple) {
    start_part_ = start_part, warm_after_ = warm_after, span_ = span, multiple_ = multiple;
}
void Disk::set_pauses(Time every, Time length) {
    pause_every_ = every, pause_length_ = length;
    next_pause_ = every > 0 ? started_ + every : 0;
}
void Disk::set_put_off(double part, Time every) {
    put_off_part_ = part, put_off_every_ = every;
    next_put_off_ = every > 0 ? started_ + every : 0;
}

double Disk::capacity(Time now) const {
    if (warm_after_ <= 0 || now >= started_ + warm_after_)
        return 1;
    return start_part_ + (1 - start_part_) * seconds(now - started_) / seconds(warm_after_);
}

void Disk::fault(Fault kind, Time from, Time until, std::uint64_t count, double size) {
    faults_.push_back({kind, from, until, count, count > 0, size});
}

bool Disk::lasts(Fault kind, Time now) const {
    return std::any_of(faults_.begin(), faults_.end(), [&](const Faulty &f) {
        return f.kind == kind && now >= f.from && now < f.until && (!f.counted || f.left > 0);
    });
}
bool Disk::hit(Fault kind, Time now, double *size) {
    for (auto &f : faults_)
        if (f.kind == kind && now >= f.from && now < f.until && (!f.counted || f.left > 0)) {
            if (f.counted)
                --f.left;
            if (size)
                *size = f.size;
            return true;
        }
    return false;
}

void Disk::came(Time now, ConnId conn) {
    peers_[conn] = std::make_shared<Peer>(*this, conn);
    if (fallen_ || lasts(Fault::refuse, now))
        drop(conn, true);
}
void Disk::gone(Time, ConnId conn) {
    peers_.erase(conn);
    // What waits for a peer that is gone is done all the same: the node can't know that nobody
    // wants it.
}
void Disk::drop(ConnId conn, bool reset) {
    if (peers_.erase(conn) > 0)
        shell_.close(conn, reset);
}

void Disk::bytes(Time now, ConnId conn, std::string_view in) {
    auto it = peers_.find(conn);
    if (it == peers_.end())
        return;
    auto peer = it->second; // outlives its own end while it is read
    peer->now = now;
    std::string fault = peer->reader.feed(in, *peer);
    if (!fault.empty() && peers_.contains(conn)) {
        shell_.say("a peer can't be followed: " + fault);
        drop(conn, false);
    }
    start(now);
}

// Whether a cold node bears these units too. Counts all that reaches it, as the rule does.
bool Disk::bears(Time now, double units) {
    if (multiple_ <= 0 || warm_after_ <= 0 || unit_time_ <= 0 || now >= started_ + warm_after_)
        return true;
    arrived_.emplace_back(now, units);
    while (arrived_.front().first < now - span_)
        arrived_.pop_front();
    double sum = 0;
    for (auto &[at, u] : arrived_)
        sum += u;
    // One largest task of slack, as the bench allows for chance.
    return sum <= multiple_ * capacity(now) * seconds(span_) * cores_ / seconds(unit_time_) + 8;
}

void Disk::take(Time now, Ask ask) {
    if (hit(Fault::reset, now))
        return drop(ask.conn, true);
    if (!bears(now, ask.units)) {
        shell_.say("fell over: sent more while cold than it bears");
        fallen_ = true;
        waiting_.clear(), working_.clear(), leaving_.clear();
        shell_.listen(false);
        while (!peers_.empty())
            drop(peers_.begin()->first, true);
        return;
    }
    if (hit(Fault::full, now) ||
        (unit_time_ > 0 && working_.size() >= slots_ && waiting_.size() >= room_))
        return answer(now, ask, node_protocol::Status::full);
    waiting_.push_back(std::move(ask));
}

void Disk::start(Time now) {
    if (fallen_ || lasts(Fault::hang, now) || now < paused_until_)
        return;
    while (!waiting_.empty() && (unit_time_ == 0 || working_.size() < slots_)) {
        Ask ask = std::move(waiting_.front());
        waiting_.pop_front();
        if (unit_time_ == 0) {
            serve(now, ask);
            continue;
        }
        double factor = 1, units = std::max(ask.units, 0.1);
        hit(Fault::slow, now, &factor);
        if (ask.kind == node_protocol::Kind::write)
            put_off_units_ += put_off_part_ * units, units *= 1 - put_off_part_;
        // More in work than there are cores share them.
        double crowd = std::max(1.0, static_cast<double>(working_.size() + 1) / cores_);
        auto took = static_cast<Time>(static_cast<double>(unit_time_) * units * factor * crowd /
                                      capacity(now));
        working_.emplace(now + std::max<Time>(took, 1), std::move(ask));
    }
}

Store::Cut Disk::open_cut(VolumeId of, VolumeId as, std::uint32_t epoch,
                          std::set<control::EdgeIncarnation> late) {
    auto how = store_.open_cut(of, as, epoch);
    if (how == Store::Cut::done || how == Store::Cut::exists)
        late_[of] = std::move(late);
    return how;
}
// A medium that can't make a cut durable serves nothing after that; the planner hears that the cut
// fell short, and the next flush of a client tells the rest.
bool Disk::seal(VolumeId of, VolumeId as) {
    try {
        if (!store_.seal(as))
            return false;
    } catch (const std::runtime_error &e) {
        shell_.say(e.what());
        return false;
    }
    late_.erase(of);
    return true;
}
Store::Cut Disk::clone(VolumeId of, VolumeId as) {
    try {
        return store_.cut(of, as, false);
    } catch (const std::runtime_error &e) {
        shell_.say(e.what());
        return Store::Cut::failed;
    }
}
bool Disk::drop(VolumeId as) {
    try {
        return !store_.has(as) || store_.drop(as);
    } catch (const std::runtime_error &e) {
        shell_.say(e.what());
        return false;
    }
}
// Takes down a piece of what snapshots that were dropped had for themselves, when it is its turn.
void Disk::tidy(Time now) {
    if (!store_.reclaiming() || !background_.may(now, working_.size(), slots_, waiting_.size()))
        return;
    if (unit_time_ == 0) {
        background_.began(now, piece_time);
        store_.reclaim(piece);
        return;
    }
    // On a core that is modelled it takes a slot for a quarter of a unit.
    auto took = std::max<Time>(1, unit_time_ / 4);
    background_.began(now, took);
    Ask work{};
    work.background = true;
    working_.emplace(now + took, std::move(work));
}

void Disk::serve(Time now, Ask &ask) {
    if (ask.background) {
        store_.reclaim(piece);
        return;
    }
    ++served_;
    if (hit(Fault::fail, now))
        return answer(now, ask, node_protocol::Status::error);
    // Guards against a snapshot that was dropped while an edge has it open: it would read as
    // zeroes.
    if ((ask.flags & node_protocol::flag_cut) && !store_.has(ask.volume))
        return answer(now, ask, node_protocol::Status::error);
    std::string out;
    bool well = true;
    switch (ask.kind) {
    case node_protocol::Kind::read:
        if (hit(Fault::rot, now))
            store_.rot(ask.volume, ask.offset);
        if (!store_.read(ask.volume, ask.offset, ask.length, out))
            return answer(now, ask, node_protocol::Status::bad_checksum);
        break;
    case node_protocol::Kind::write:
    case node_protocol::Kind::zero: {
        // A copy that was delayed past what its edge waits for must not write over what came later;
        // one whose twin was done must not be done again. Both hold here, at the moment of the
        // work, and nowhere else.
        if (ask.not_after > 0 && now > ask.not_after)
            return answer(now, ask, node_protocol::Status::too_late);
        bool deduplicated = (ask.flags & node_protocol::flag_numbered) != 0;
        if (deduplicated && store_.was_done(ask.incarnation, ask.number, now))
            break;
        std::optional<VolumeId> both;
        if (auto epoch = store_.epoch(ask.volume); ask.epoch < epoch) {
            // Found in virtual time: an edge left out of one cut and late in the next brought a
            // part of a change whose other parts were in the first.
            if (auto sealed = store_.sealed(ask.volume); ask.epoch < sealed)
                return answer(now, ask, node_protocol::Status::stale, {}, sealed);
            both = store_.opened(ask.volume);
            auto late = late_.find(ask.volume);
            bool counts = late != late_.end() &&
                          late->second.contains(control::EdgeIncarnation{ask.incarnation});
            // Guards against a change that is in the cut here and out of it at another node. While
            // the cut is open an edge that is not known to have stopped waits: told of the epoch it
            // would begin changes of it at nodes that have not cut yet.
            if (!counts && both)
                return answer(now, ask, node_protocol::Status::full);
            if (!counts)
                return answer(now, ask, node_protocol::Status::stale, {}, epoch);
        }
        if (!store_.has_room(both ? 2ull * ask.length : ask.length))
            return answer(now, ask, node_protocol::Status::no_space);
        if (both)
            well = ask.kind == node_protocol::Kind::write
                       ? store_.write_both(ask.volume, *both, ask.offset, ask.payload)
                       : store_.zero_both(ask.volume, *both, ask.offset, ask.length);
        else
            well = ask.kind == node_protocol::Kind::write
                       ? store_.write(ask.volume, ask.offset, ask.payload)
                       : store_.zero(ask.volume, ask.offset, ask.length);
        if (!well)
            return answer(now, ask, node_protocol::Status::error);
        if (deduplicated)
            store_.remember(ask.incarnation, ask.number, ask.not_after, now);
        if (ask.flags & node_protocol::flag_durable)
            store_.flush();
        break;
    }
    case node_protocol::Kind::flush:
        store_.flush();
        break;
    case node_protocol::Kind::status:
        for (auto [length, data] : store_.runs(ask.volume, ask.offset, ask.length))
            for (std::uint32_t v : {length, data ? 0u : 3u})
                for (unsigned i = 0; i < 4; ++i)
                    out.push_back(static_cast<char>(v >> (8 * i)));
        break;
    default:
        break;
    }
    answer(now, ask, node_protocol::Status::ok, out);
}

void Disk::answer(Time now, const Ask &ask, node_protocol::Status status, std::string_view payload,
                  std::uint32_t epoch) {
    auto it = peers_.find(ask.conn);
    if (it == peers_.end() || it->second->mute)
        return;
    auto bytes = node_protocol::make(node_protocol::Kind::answer, 0, status, ask.tag, ask.volume,
                                     ask.offset, ask.length, 0, store_.incarnation(), ask.number,
                                     now, shard_, payload, epoch);
    if (status != node_protocol::Status::full) { // the faults of answers meet work that was done
        if (hit(Fault::mute, now)) {
            it->second->mute = true;
            shell_.send(ask.conn, bytes.substr(0, bytes.size() / 2));
            return;
        }
        if (hit(Fault::cut, now)) {
            shell_.send(ask.conn, bytes.substr(0, bytes.size() / 2));
            return drop(ask.conn, false);
        }
        if (hit(Fault::garble, now)) {
            auto at = chance_() % bytes.size();
            bytes[at] = static_cast<char>(bytes[at] ^ 4);
        }
        double late = 0;
        if (hit(Fault::late, now, &late)) {
            leaving_[{now + static_cast<Time>(late * 1e9), ++next_answer_}] = {ask.conn,
                                                                               std::move(bytes)};
            return;
        }
    }
    shell_.send(ask.conn, std::move(bytes));
}

Time Disk::next_due() const {
    if (fallen_)
        return never;
    Time due = never;
    if (!working_.empty())
        due = working_.begin()->first;
    if (!leaving_.empty())
        due = std::min(due, leaving_.begin()->first.first);
    if (pause_every_ > 0)
        due = std::min(due, next_pause_);
    if (put_off_every_ > 0)
        due = std::min(due, next_put_off_);
    if (!waiting_.empty() && paused_until_ > 0)
        due = std::min(due, paused_until_);
    if (store_.reclaiming())
        due = std::min(due, background_.due(working_.size(), slots_, waiting_.size()));
    for (const auto &f : faults_) {
        if (f.kind == Fault::hang && !waiting_.empty())
            due = std::min(due, f.until);
        if (f.kind == Fault::refuse && f.from >= 0)
            due = std::min(due, std::max(f.from, Time{0}));
    }
    return due;
}

void Disk::tick(Time now) {
    if (fallen_)
        return;
    std::erase_if(faults_,
                  [&](const Faulty &f) { return now >= f.until || (f.counted && f.left == 0); });
    for (auto &f : faults_)
        if (f.kind == Fault::refuse && f.from >= 0 && now >= f.from) {
            f.from = -1; // acted on: what comes until its end is refused as it comes
            while (!peers_.empty())
                drop(peers_.begin()->first, true);
        }
    while (!working_.empty() && working_.begin()->first <= now) {
        Time at = working_.begin()->first;
        Ask ask = std::move(working_.begin()->second);
        working_.erase(working_.begin());
        serve(std::max(at, now), ask);
        start(now);
    }
    while (!leaving_.empty() && leaving_.begin()->first.first <= now) {
        auto [conn, bytes] = std::move(leaving_.begin()->second);
        leaving_.erase(leaving_.begin());
        if (auto it = peers_.find(conn); it != peers_.end() && !it->second->mute)
            shell_.send(conn, std::move(bytes));
    }
    if (pause_every_ > 0 && now >= next_pause_) {
        paused_until_ = now + pause_length_;
        next_pause_ =
            now + pause_every_ / 2 + static_cast<Time>(chance_() % 1024) * pause_every_ / 1024;
    }
    if (put_off_every_ > 0 && now >= next_put_off_) {
        next_put_off_ = now + put_off_every_;
        paused_until_ =
            std::max(paused_until_, now + static_cast<Time>(put_off_units_ / cores_ *
                                                            static_cast<double>(unit_time_)));
        put_off_units_ = 0;
    }
    start(now);
    tidy(now);
}

void Disk::restart(Time now, bool lose_unflushed) {
    if (lose_unflushed) {
        store_.lose();
        shell_.say("restarted; what was not flushed is lost");
    }
    waiting_.clear(), working_.clear(), leaving_.clear(), arrived_.clear();
    late_.clear(), background_.restart();
    while (!peers_.empty())
        drop(peers_.begin()->first, true);
    fallen_ = false;
    started_ = now;
    paused_until_ = 0, put_off_units_ = 0;
    if (pause_every_ > 0)
        next_pause_ = now + pause_every_;
    if (put_off_every_ > 0)
        next_put_off_ = now + put_off_every_;
    shell_.listen(true);
}

} // namespace knotvane::node
