#include "rules/rule_checker.hpp"

#include <algorithm>
#include <limits>
#include <sstream>

#include <xxhash.h>

#include "nbd/wire.hpp"

namespace knotvane::rules {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// Data is compared in blocks of this many bytes, the smallest request alignment of any volume.

constexpr std::uint64_t block = 512;
// Breach lines kept for each rule; further breaches are only counted.

constexpr std::uint64_t max_lines_per_rule = 8;
// A task is dropped this long after its first attempt, well past every client timeout.

constexpr Time task_retention = 60 * sec;

std::uint64_t hash_bytes(std::string_view bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}
const std::uint64_t hash_of_zero_block = hash_bytes(std::string(block, '\0'));

bool overlap(std::uint64_t a, std::uint64_t na, std::uint64_t b, std::uint64_t nb) {
    return a < b + nb && b < a + na;
}

} // namespace

struct RuleChecker::Request {
    EdgeId edge;
    VolumeId volume;
    int command;
    std::uint64_t offset;
    std::uint32_t length;
    bool fua;
    Time start, end = never;
    bool acked = false, durable = false, possibly_lost = false, open = true;
    std::map<std::uint64_t, std::string> data;                       // of a read, by offset
    std::vector<std::pair<std::uint64_t, std::uint32_t>> parts_done; // of a write
    std::set<std::uint64_t> parts_begun;                             // offsets that have a task
    std::vector<std::uint64_t> hashes;                               // of what is written, by block
    std::vector<std::uint64_t> tasks;
    std::vector<std::pair<NodeId, Time>> answered_by;
    Time lost_at = 0; // surely lost then
};

struct RuleChecker::Connection final : node_protocol::FrameHandler {
    RuleChecker &checker;
    ConnectionId id;
    EdgeId edge;
    VolumeId volume{};
    std::optional<NodeId> node;
    std::string in[2]; // 0: towards the edge, 1: from it
    bool greeted[2] = {false, false};
    bool export_name = false, no_zeroes = true, lost_track = false;
    std::map<std::uint64_t, RequestPtr> open_requests; // by cookie
    node_protocol::FrameReader reader[2];
    bool from_edge = false;
    Time now = 0, opened = 0, loss_reported_at = 0;
    std::map<std::uint64_t, std::uint64_t> numbers; // a tag's task

    Connection(RuleChecker &j, ConnectionId i, EdgeId e) : checker(j), id(i), edge(e) {}
    bool on_frame(const node_protocol::Frame &frame) override {
        const auto kind = frame.kind;
        const auto status = frame.status;
        const auto tag = frame.tag;
        if (from_edge && kind >= node_protocol::FrameKind::read &&
            kind <= node_protocol::FrameKind::block_status) {
            numbers[tag] = frame.request_number;
            if (kind == node_protocol::FrameKind::flush ||
                (frame.flags & node_protocol::flag_durable))
                checker.flush_asked_[*node] = now;
            checker.attempt_sent(now, *this, kind, tag, frame.volume, frame.offset, frame.length,
                                 frame.milliunits / 1000.0, frame.request_number, frame.shard,
                                 frame.payload.size() >= block
                                     ? hash_bytes(frame.payload.substr(0, block))
                                     : hash_of_zero_block);
            return true;
        }
        bool off = from_edge && kind == node_protocol::FrameKind::cancel_attempt;
        if (!off && (from_edge || kind != node_protocol::FrameKind::answer))
            return true;
        auto n = numbers.find(tag);
        auto t = n == numbers.end() ? checker.tasks_.end() : checker.tasks_.find({edge, n->second});
        if (t == checker.tasks_.end())
            return true;
        for (auto &s : t->second.attempts)
            if (s.tag == tag && s.wire == id && s.out) {
                bool proved = !off && (status == node_protocol::Status::rejected ||
                                       status == node_protocol::Status::expired ||
                                       status == node_protocol::Status::misdirected ||
                                       status == node_protocol::Status::stale_epoch);
                bool known = !off && status != node_protocol::Status::canceled;
                if (!off && status == node_protocol::Status::ok) {
                    if (auto &r = t->second.request) {
                        r->parts_done.emplace_back(t->second.offset, t->second.length);
                        r->answered_by.emplace_back(*node, now);
                    }
                }
                checker.attempt_ended(now, t->second, s, proved, known);
            }
        return true;
    }
};

RuleChecker::RuleChecker(Time slack) : slack_(slack) {}
RuleChecker::~RuleChecker() = default;
void RuleChecker::set_workload(int command, Time client_timeout, Idempotency repeat, Time window,
                               Time key_rest) {
    auto &f = workload_settings_[static_cast<std::size_t>(command)];
    f.client_timeout = std::max(f.client_timeout, client_timeout);
    f.repeat = repeat, f.window = window, f.key_rest = key_rest;
}
void RuleChecker::set_split_sizes(std::uint64_t reads, std::uint64_t writes) {
    read_split_size_ = reads, write_split_size_ = writes;
}
void RuleChecker::set_attempts(std::uint32_t most, bool parallel) {
    max_attempts_ = most, parallel_ = parallel;
}
void RuleChecker::set_drain_grace(Time grace) {
    drain_grace_ = grace;
}
void RuleChecker::set_cold(double capacity, double start_part, Time warm_after, Time span,
                           double multiple) {
    node_capacity_ = capacity, start_part_ = start_part, warm_after_ = warm_after,
    cold_span_ = span;
    cold_multiple_ = multiple;
}
void RuleChecker::set_connect_timeout(Time hold) {
    connect_timeout_ = hold;
}
void RuleChecker::set_retry_budget(double each, double free, Time span) {
    retry_share_ = each, retry_allowance_ = free, retry_span_ = span;
}
void RuleChecker::set_volume(const std::string &name, VolumeId volume) {
    volumes_[name] = volume;
}
void RuleChecker::set_limit(VolumeId volume, double rate, double burst, double slack) {
    limits_[volume] = {rate, burst, slack, burst, 0};
}

void RuleChecker::breach(Rule rule, Time now, const std::string &what) {
    static constexpr const char *names[] = {"",         "1 (answers)", "2 (effects)", "3 (drains)",
                                            "4 (cold)", "5 (order)",   "6 (further)", "7 (limits)",
                                            "data"};
    auto n = static_cast<std::size_t>(rule);
    if (++breaches_[n] > max_lines_per_rule)
        return;
    std::ostringstream line;
    line << "rule " << names[n] << " at " << seconds(now) << " s: " << what;
    breach_lines_.push_back(line.str());
}

void RuleChecker::client_connected(Time now, ConnectionId wire, EdgeId edge, VolumeId volume) {
    connections_[wire] = std::make_unique<Connection>(*this, wire, edge);
    connections_[wire]->volume = volume, connections_[wire]->opened = now;
}
void RuleChecker::node_connected(Time now, ConnectionId wire, EdgeId edge, NodeId node) {
    connections_[wire] = std::make_unique<Connection>(*this, wire, edge);
    connections_[wire]->node = node, connections_[wire]->opened = now;
}
void RuleChecker::node_state_learned(Time now, EdgeId edge, NodeId node, NodeState state) {
    if (state == NodeState::ready)
        leaving_.erase({edge, node});
    else
        leaving_.try_emplace({edge, node}, now);
}
void RuleChecker::node_started(Time now, NodeId node) {
    started_[node] = now;
    sent_cold_[node].clear();
}
void RuleChecker::unflushed_data_lost(Time now, NodeId node) {
    for (auto &r : undurable_) {
        if (r->durable || r->start > now)
            continue;
        // A write whose answer is still outstanding, or that may have been flushed in the meantime,
        // may or may not be lost.

        r->possibly_lost = r->possibly_lost || r->open;
        for (auto n : r->tasks)
            for (auto &s : tasks_[{r->edge, n}].attempts)
                r->possibly_lost = r->possibly_lost || s.node == node;
        for (auto [by, at] : r->answered_by)
            if (by == node && flush_asked_[node] < at)
                r->lost_at = now;
    }
}
void RuleChecker::edge_killed(Time, EdgeId edge) {
    for (auto &[id, w] : connections_)
        if (w->edge == edge) {
            for (auto &[cookie, r] : w->open_requests)
                r->open = false;
            w->open_requests.clear();
        }
    writing_.erase(edge);
    open_writes_.erase(edge);
    further_attempts_.erase(edge), accepted_.erase(edge);
}

void RuleChecker::bytes_seen(Time now, ConnectionId wire, bool from_edge, std::string_view in) {
    auto it = connections_.find(wire);
    if (it == connections_.end() || it->second->lost_track)
        return;
    Connection &w = *it->second;
    w.now = now, w.from_edge = from_edge;
    check_pending_order(now);
    if (w.node) {
        // A stream that can't be followed (a garbled answer) is closed by the edge; nothing more is
        // read of it.
        if (!w.reader[from_edge].feed(in, w).empty())
            w.lost_track = !from_edge ? true : w.lost_track;
        return;
    }
    w.in[from_edge] += in;
    if (from_edge)
        parse_replies(now, w);
    else
        parse_requests(now, w);
}

void RuleChecker::parse_requests(Time now, Connection &w) {
    std::string &in = w.in[0];
    std::size_t at = 0;
    for (;;) {
        std::string_view rest = std::string_view(in).substr(at);
        if (!w.greeted[0]) {
            if (rest.size() < 4)
                break;
            w.no_zeroes = nbd::get<std::uint32_t>(rest, 0) & 2;
            w.greeted[0] = true, at += 4;
        } else if (rest.size() >= 16 && nbd::get<std::uint64_t>(rest, 0) == nbd::option_magic) {
            std::size_t n = nbd::get<std::uint32_t>(rest, 12);
            if (rest.size() < 16 + n)
                break;
            auto code = nbd::get<std::uint32_t>(rest, 8);
            w.export_name |= code == nbd::opt_export_name;
            std::string_view name = rest.substr(16, n);
            if ((code == nbd::opt_go || code == nbd::opt_info) && n >= 4)
                name = name.substr(4, nbd::get<std::uint32_t>(name, 0));
            if (code == nbd::opt_go || code == nbd::opt_info || code == nbd::opt_export_name)
                if (auto v = volumes_.find(name); v != volumes_.end())
                    w.volume = v->second;
            at += 16 + n;
        } else if (rest.size() >= 28 && nbd::get<std::uint32_t>(rest, 0) == nbd::request_magic) {
            auto command = nbd::get<std::uint16_t>(rest, 6);
            auto length = nbd::get<std::uint32_t>(rest, 24);
            std::size_t payload = command == nbd::cmd_write ? length : 0;
            if (rest.size() < 28 + payload)
                break;
            request_received(now, w, nbd::get<std::uint16_t>(rest, 4), command,
                             nbd::get<std::uint64_t>(rest, 8), nbd::get<std::uint64_t>(rest, 16),
                             length, rest.substr(28, payload));
            at += 28 + payload;
        } else {
            break;
        }
    }
    in.erase(0, at);
}

void RuleChecker::parse_replies(Time now, Connection &w) {
    std::string &in = w.in[1];
    std::size_t at = 0;
    for (;;) {
        std::string_view rest = std::string_view(in).substr(at);
        if (!w.greeted[1]) {
            if (rest.size() < 18)
                break;
            w.greeted[1] = true, at += 18;
            continue;
        }
        if (rest.size() < 4)
            break;
        auto magic = nbd::get<std::uint32_t>(rest, 0);
        if (magic == nbd::option_reply_magic >> 32) {
            if (rest.size() < 20)
                break;
            std::size_t n = nbd::get<std::uint32_t>(rest, 16);
            if (rest.size() < 20 + n)
                break;
            at += 20 + n;
        } else if (magic == nbd::simple_reply_magic) {
            if (rest.size() < 16)
                break;
            auto error = nbd::get<std::uint32_t>(rest, 4);
            auto cookie = nbd::get<std::uint64_t>(rest, 8);
            auto f = w.open_requests.find(cookie);
            std::size_t n = f != w.open_requests.end() && f->second->command == 0 && error == 0
                                ? f->second->length
                                : 0;
            if (rest.size() < 16 + n)
                break;
            if (n > 0)
                read_data_received(w, cookie, f->second->offset, rest.substr(16, n));
            request_answered(now, w, cookie, error);
            at += 16 + n;
        } else if (magic == nbd::structured_reply_magic) {
            if (rest.size() < 20)
                break;
            std::size_t n = nbd::get<std::uint32_t>(rest, 16);
            if (rest.size() < 20 + n)
                break;
            auto flags = nbd::get<std::uint16_t>(rest, 4), type = nbd::get<std::uint16_t>(rest, 6);
            auto cookie = nbd::get<std::uint64_t>(rest, 8);
            if (type == nbd::reply_type_offset_data && n >= 8)
                read_data_received(w, cookie, nbd::get<std::uint64_t>(rest, 20),
                                   rest.substr(28, n - 8));
            bool bad = type == nbd::reply_type_error || type == nbd::reply_type_error_offset;
            if (bad || (flags & nbd::reply_flag_done))
                request_answered(now, w, cookie, bad ? nbd::get<std::uint32_t>(rest, 20) : 0);
            at += 20 + n;
        } else if (w.export_name) {
            std::size_t n = w.no_zeroes ? 10 : 134;
            if (rest.size() < n)
                break;
            w.export_name = false, at += n;
        } else {
            breach(Rule::answers, now,
                   "edge " + std::to_string(w.edge.value) +
                       " sent bytes to a client that are not an NBD reply; connection " +
                       std::to_string(w.id.value) + " is not checked further");
            w.lost_track = true;
            break;
        }
    }
    in.erase(0, at);
}

void RuleChecker::request_received(Time now, Connection &w, std::uint16_t flags,
                                   std::uint16_t command, std::uint64_t cookie,
                                   std::uint64_t offset, std::uint32_t length,
                                   std::string_view data) {
    int kind = command == nbd::cmd_read                                        ? 0
               : command == nbd::cmd_write                                     ? 1
               : command == nbd::cmd_trim || command == nbd::cmd_write_zeroes  ? 2
               : command == nbd::cmd_flush                                     ? 3
               : command == nbd::cmd_block_status || command == nbd::cmd_cache ? 4
                                                                               : -1;
    if (kind < 0)
        return;
    ++requests_;
    auto r = std::make_shared<Request>();
    r->edge = w.edge, r->volume = w.volume, r->command = kind, r->offset = offset,
    r->length = length;
    r->fua = (flags & nbd::cmd_flag_fua) != 0, r->start = now;
    w.open_requests[cookie] = r;
    if (retry_span_ > 0) {
        auto cut = kind == 0 ? read_split_size_ : write_split_size_;
        // A flush becomes one request to each shard with data to flush: at most all shards seen.

        auto tasks = kind == 3                 ? std::max<std::uint64_t>(1, shards_.size())
                     : kind > 2 || length == 0 ? 1
                                               : (offset + length - 1) / cut - offset / cut + 1;
        for (std::uint64_t i = 0; i < tasks; ++i)
            accepted_[w.edge].push_back(now);
    }
    if (kind == 0)
        open_reads_.insert({now, r.get()});
    if (kind != 1 && kind != 2)
        return;
    open_writes_[w.edge].push_back(r);
    undurable_.push_back(r);
    for (std::uint64_t i = 0; i < length / block; ++i) {
        r->hashes.push_back(kind == 1 ? hash_bytes(data.substr(i * block, block))
                                      : hash_of_zero_block);
        history_[{w.volume, offset / block + i}].emplace_back(r, r->hashes.back());
    }
}

void RuleChecker::read_data_received(Connection &w, std::uint64_t cookie, std::uint64_t offset,
                                     std::string_view data) {
    if (auto it = w.open_requests.find(cookie); it != w.open_requests.end())
        it->second->data[offset] = data;
}

void RuleChecker::request_answered(Time now, Connection &w, std::uint64_t cookie,
                                   std::uint32_t error) {
    count_check(Rule::answers);
    auto it = w.open_requests.find(cookie);
    if (it == w.open_requests.end())
        return breach(Rule::answers, now,
                      "edge " + std::to_string(w.edge.value) +
                          " answered a request that is not open, cookie " + std::to_string(cookie) +
                          " on connection " + std::to_string(w.id.value));
    auto r = it->second;
    w.open_requests.erase(it);
    r->open = false, r->end = now;
    auto &f = workload_settings_[static_cast<std::size_t>(r->command)];
    if (f.client_timeout > 0 && now > r->start + f.client_timeout + slack_)
        breach(Rule::answers, now,
               "edge " + std::to_string(w.edge.value) + " answered cookie " +
                   std::to_string(cookie) + " " + std::to_string(seconds(now - r->start)) +
                   " s after the request; the client timeout is " +
                   std::to_string(seconds(f.client_timeout)) + " s");
    if (r->command == 0)
        open_reads_.erase({r->start, r.get()});
    std::erase(open_writes_[w.edge], r);
    delivered_ += error == 0;
    if (error == 0 && r->command == 0)
        check_read(now, *r);
    if (error == 0 && (r->command == 1 || r->command == 2)) {
        r->acked = true;
        r->durable = r->fua;
        count_check(Rule::effects);
    }
    if (r->command == 3 && error != 0)
        w.loss_reported_at = now;
    if (error == 0 && r->command == 3) {
        count_check(Rule::data);
        for (auto &u : undurable_) {
            if (!u->acked || u->edge != r->edge || u->volume != r->volume || u->end > r->start)
                continue;
            // A loss must be reported once to each connection that was open at the time; later
            // flushes on that connection may succeed.

            if (u->lost_at > std::max(w.opened, w.loss_reported_at) && u->lost_at < r->start)
                breach(Rule::data, now,
                       "a flush of volume " + std::to_string(r->volume.value) +
                           " succeeded although the write at byte " + std::to_string(u->offset) +
                           " from " + std::to_string(seconds(u->start)) + " s was lost at " +
                           std::to_string(seconds(u->lost_at)) + " s");
            u->durable = !u->possibly_lost;
        }
        std::erase_if(undurable_, [&](auto &u) {
            return u->durable || (!u->open && !u->acked) ||
                   (u->lost_at > 0 && u->lost_at < now - task_retention);
        });
    }
    // ENOMEM tells the client that a retry is safe, so it is wrong for a write that may have run
    // and must not run twice.

    if (error == nbd::e_nomem && (r->command == 1 || r->command == 2) &&
        f.repeat != Idempotency::idempotent) {
        count_check(Rule::effects);
        for (auto n : r->tasks)
            for (auto &s : tasks_[{r->edge, n}].attempts)
                if (!s.proved) {
                    breach(Rule::effects, now,
                           "edge " + std::to_string(w.edge.value) +
                               " answered ENOMEM (retry is safe) to a write that may have run, "
                               "request " +
                               std::to_string(n));
                    break;
                }
    }
    r->data.clear();
}

void RuleChecker::check_read(Time now, Request &r) {
    std::string all(r.length, '\0');
    std::size_t came = 0;
    for (auto &[at, bytes] : r.data)
        if (at >= r.offset && at - r.offset + bytes.size() <= r.length)
            all.replace(at - r.offset, bytes.size(), bytes), came += bytes.size();
    count_check(Rule::data);
    if (came != r.length)
        return breach(Rule::data, now,
                      "a read of volume " + std::to_string(r.volume.value) + " at byte " +
                          std::to_string(r.offset) + " expected " + std::to_string(r.length) +
                          " bytes and read_data_received " + std::to_string(came));
    for (std::uint64_t i = 0; i < r.length / block; ++i) {
        auto h = hash_bytes(std::string_view(all).substr(i * block, block));
        auto &hist = history_[{r.volume, r.offset / block + i}];
        // Blocks that were never written read as zeroes; -1 is earlier than any write.

        auto overwritten = [&](Time end) {
            return std::any_of(hist.begin(), hist.end(), [&](auto &x) {
                auto &o = *x.first;
                return o.acked && !o.possibly_lost && end < o.start && o.end < r.start;
            });
        };
        bool valid = h == hash_of_zero_block && !overwritten(-1);
        for (auto &[w, hash] : hist)
            valid = valid || (hash == h && w->start <= now && !overwritten(w->end));
        if (!valid) {
            // Name the write that was returned and those that replaced it, with their times:
            // without these the cause can't be found.

            std::ostringstream what;
            what << "a read from " << seconds(r.start) << " s of volume " << r.volume.value
                 << " at byte " << r.offset + i * block << " returned ";
            bool known = h == hash_of_zero_block;
            if (known)
                what << "the zeroes of an unwritten block, ";
            for (auto &[w, hash] : hist)
                if (hash == h)
                    known = true,
                    what << "the data of the write from " << seconds(w->start) << " s, ";
            what << (known ? "although these writes were acknowledged before it:"
                           : "data that no write contained");
            for (auto &[w, hash] : hist)
                if (known && w->acked && !w->possibly_lost && w->end < r.start)
                    what << " " << seconds(w->start) << "-" << seconds(w->end);
            return breach(Rule::data, now, what.str());
        }
        prune(hist);
    }
}

// Drops writes that no read can return any more because a durable write replaced them before the
// oldest open read began.

void RuleChecker::prune(std::vector<std::pair<RequestPtr, std::uint64_t>> &hist) {
    if (hist.size() < 16)
        return;
    Time oldest = open_reads_.empty() ? never : open_reads_.begin()->first;
    RequestPtr last;
    for (auto &[w, h] : hist)
        if (w->acked && w->durable && w->end < oldest && (!last || w->start > last->start))
            last = w;
    if (last)
        std::erase_if(hist, [&](auto &x) { return x.first->end < last->start; });
}

void RuleChecker::attempt_sent(Time now, Connection &w, node_protocol::FrameKind kind,
                               std::uint64_t tag, VolumeId volume, std::uint64_t offset,
                               std::uint32_t length, double units, std::uint64_t number,
                               ShardId shard, std::uint64_t first) {
    ++attempt_count_;
    auto [it, is_new] = tasks_.try_emplace({w.edge, number});
    RequestAttempts &t = it->second;
    int command = static_cast<int>(kind) - static_cast<int>(node_protocol::FrameKind::read);
    const WorkloadSettings &f = workload_settings_[static_cast<std::size_t>(command)];
    bool writes = node_protocol::is_mutation(kind);
    if (is_new) {
        t.kind = kind, t.volume = volume, t.offset = offset, t.length = length;
        tasks_by_age_.emplace_back(now, it->first);
        if (writes)
            for (auto &r : open_writes_[w.edge])
                // The range must be exactly a piece that the request is split into, not merely
                // inside it.

                if (r->volume == volume && r->command == command &&
                    offset == std::max(r->offset, offset / write_split_size_ * write_split_size_) &&
                    offset + length ==
                        std::min(r->offset + r->length,
                                 (offset / write_split_size_ + 1) * write_split_size_) &&
                    // Two open writes may cover the same range; the data tells which one this is.

                    r->hashes[(offset - r->offset) / block] == first &&
                    !r->parts_begun.contains(offset)) {
                    r->parts_begun.insert(offset);
                    r->tasks.push_back(number);
                    t.request = r;
                    break;
                }
    }
    std::string name =
        "request " + std::to_string(number) + " of edge " + std::to_string(w.edge.value);
    // Rule 1: no attempt is sent for a request that was already answered.

    count_check(Rule::answers);
    if (t.request && !t.request->open && now > t.request->end + slack_)
        breach(Rule::answers, now, "an attempt was sent after the final answer, " + name);
    // Rule 2: no effect happens twice, and attempts run in parallel only where allowed.

    count_check(Rule::effects);
    if (max_attempts_ > 0 && t.attempts.size() >= max_attempts_)
        breach(Rule::effects, now,
               "more than " + std::to_string(max_attempts_) + " attempts, " + name);
    for (auto &s : t.attempts) {
        if (s.out && !parallel_)
            breach(Rule::effects, now, "an attempt was sent while another is outstanding, " + name);
        if (!writes || s.proved || f.repeat == Idempotency::idempotent)
            continue;
        if (f.repeat == Idempotency::at_most_once)
            breach(Rule::effects, now,
                   "a write that may have run and must run at most once was sent again, " + name);
        else if (now > s.sent + f.window || s.shard != shard)
            breach(Rule::effects, now,
                   "a write was sent again outside the deduplication window or to another shard, " +
                       name);
    }
    // Rule 3: no attempts to a draining or removed node after the drain grace.
    if (drain_grace_ >= 0) {
        count_check(Rule::drains);
        auto l = leaving_.find({w.edge, *w.node});
        if (l != leaving_.end() && now > l->second + drain_grace_)
            breach(Rule::drains, now,
                   "edge " + std::to_string(w.edge.value) + " sent an attempt to node " +
                       std::to_string(w.node->value) + " " +
                       std::to_string(seconds(now - l->second)) +
                       " s after it learned that the node is leaving; the drain grace is " +
                       std::to_string(seconds(drain_grace_)) + " s");
    }
    // Rule 4: a recently started node gets no more units than it can serve while cold.
    if (auto s = started_.find(*w.node);
        cold_multiple_ > 0 && s != started_.end() && now < s->second + warm_after_) {
        count_check(Rule::cold);
        auto &sent = sent_cold_[*w.node];
        sent.emplace_back(now, units);
        while (sent.front().first < now - cold_span_)
            sent.pop_front();
        double sum = 0;
        for (auto &[at, u] : sent)
            sum += u;
        double part =
            start_part_ + (1 - start_part_) * seconds(now - s->second) / seconds(warm_after_);
        if (sum > cold_multiple_ * part * node_capacity_ * seconds(cold_span_) +
                      8) // 8: allows one largest request
            breach(
                Rule::cold, now,
                "node " + std::to_string(w.node->value) + " was sent " + std::to_string(sum) +
                    " units while cold; its limit is " +
                    std::to_string(cold_multiple_ * part * node_capacity_ * seconds(cold_span_)));
    }
    // An attempt on a new connection may have been decided earlier and waited for the connection.
    // Rules about the time of the decision skip it; this can hide a breach but never report a false
    // one.

    bool prompt = now >= w.opened + connect_timeout_;
    // Rule 6: further attempts stay within the retry budget.
    if (retry_span_ > 0 && !is_new && prompt) {
        count_check(Rule::further);
        auto &further = further_attempts_[w.edge];
        auto &taken = accepted_[w.edge];
        further.push_back(now);
        while (further.front() < now - retry_span_)
            further.pop_front();
        while (!taken.empty() && taken.front() < now - retry_span_)
            taken.pop_front();
        if (static_cast<double>(further.size()) >
            retry_allowance_ + retry_share_ * static_cast<double>(taken.size()))
            breach(Rule::further, now,
                   std::to_string(further.size()) + " further attempts of edge " +
                       std::to_string(w.edge.value) + " within the span of the retry budget, for " +
                       std::to_string(taken.size()) + " accepted requests");
    }
    // Rule 7: a volume stays within its limit.
    if (auto l = limits_.find(volume); l != limits_.end() && is_new && prompt) {
        count_check(Rule::limits);
        Limit &m = l->second;
        m.level = std::min(m.burst, m.level + m.rate * seconds(now - m.at)) - units;
        m.at = now;
        if (m.level < -m.slack)
            breach(Rule::limits, now,
                   "volume " + std::to_string(volume.value) + " is " + std::to_string(-m.level) +
                       " units over its limit; the allowed slack is " + std::to_string(m.slack));
    }
    if (writes) {
        if (f.key_rest > 0)
            check_order(now, w.edge, t);
        writing_[w.edge].insert(number);
    }
    shards_.insert(shard);
    t.attempts.push_back({*w.node, shard, tag, w.id, now});
    while (!tasks_by_age_.empty() && tasks_by_age_.front().first < now - task_retention) {
        writing_[tasks_by_age_.front().second.first].erase(tasks_by_age_.front().second.second);
        tasks_.erase(tasks_by_age_.front().second);
        tasks_by_age_.pop_front();
    }
}

void RuleChecker::check_pending_order(Time now) {
    while (!pending_order_checks_.empty() &&
           std::get<0>(pending_order_checks_.front()) < now - slack_) {
        auto &[at, r, what] = pending_order_checks_.front();
        if (r->open || r->end > at + slack_)
            breach(Rule::order, at, what);
        pending_order_checks_.pop_front();
    }
}

// Rule 5: writes to overlapping ranges run in the order of their arrival.

void RuleChecker::check_order(Time now, EdgeId edge, RequestAttempts &t) {
    count_check(Rule::order);
    auto &writing = writing_[edge];
    for (auto it = writing.begin(); it != writing.end();) {
        RequestAttempts &o = tasks_.at({edge, *it});
        // An attempt's timeout inside the edge can't be seen on the connection, so the attempt
        // counts as outstanding for the client timeout plus the key rest.

        const WorkloadSettings &f =
            workload_settings_[o.kind == node_protocol::FrameKind::write ? 1 : 2];
        bool out = std::any_of(o.attempts.begin(), o.attempts.end(), [&](auto &s) {
            return s.out && now < s.sent + f.client_timeout + f.key_rest - slack_;
        });
        if (!out && now >= o.rest_until) {
            it = writing.erase(it);
            continue;
        }
        if (&o != &t && o.volume == t.volume && overlap(o.offset, o.length, t.offset, t.length))
            breach(Rule::order, now,
                   "a write to volume " + std::to_string(t.volume.value) + " at byte " +
                       std::to_string(t.offset) + " was sent while request " + std::to_string(*it) +
                       " to overlapping bytes " + (out ? "is outstanding" : "may still run"));
        ++it;
    }
    if (!t.request)
        return;
    for (auto &r : open_writes_[edge]) {
        if (r == t.request || r->volume != t.volume || r->start + slack_ >= t.request->start)
            continue;
        if (!overlap(r->offset, r->length, t.offset, t.length))
            continue;
        bool done = std::any_of(r->parts_done.begin(), r->parts_done.end(), [&](auto &p) {
            return overlap(p.first, p.second, t.offset, t.length);
        });
        // Its answer may be sent at the same moment and appear slightly later on the connection.

        if (!done)
            pending_order_checks_.emplace_back(
                now, r,
                "volume " + std::to_string(t.volume.value) + ": a write of " +
                    std::to_string(t.length) + " bytes at " + std::to_string(t.offset) +
                    " was sent before the earlier write of " + std::to_string(r->length) +
                    " bytes at " + std::to_string(r->offset) + " from " +
                    std::to_string(seconds(r->start)) + " s had request_answered");
    }
}

void RuleChecker::attempt_ended(Time now, RequestAttempts &t, Attempt &s, bool proved, bool known) {
    s.out = false, s.proved = proved;
    bool writes = node_protocol::is_mutation(t.kind);
    if (writes && !known)
        t.rest_until = std::max(
            t.rest_until,
            now + workload_settings_[t.kind == node_protocol::FrameKind::write ? 1 : 2].key_rest -
                slack_);
}

void RuleChecker::connection_closed(Time now, ConnectionId id, bool by_edge) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    Connection &w = *it->second;
    for (auto &[tag, number] : w.numbers)
        if (auto t = tasks_.find({w.edge, number}); t != tasks_.end())
            for (auto &s : t->second.attempts)
                if (s.wire == id && s.out)
                    attempt_ended(now, t->second, s, false, false);
    for (auto &[cookie, r] : w.open_requests) {
        if (by_edge)
            breach(Rule::answers, now,
                   "edge " + std::to_string(w.edge.value) + " closed connection " +
                       std::to_string(id.value) + " with cookie " + std::to_string(cookie) +
                       " unanswered");
        r->open = false; // `end` stays unset: the request may still take effect
        if (r->command == 0)
            open_reads_.erase({r->start, r.get()});
        std::erase(open_writes_[w.edge], r);
    }
    connections_.erase(it);
}

void RuleChecker::finish(Time now) {
    check_pending_order(now + slack_ + 1);
    for (auto &[id, w] : connections_)
        for (auto &[cookie, r] : w->open_requests) {
            auto &f = workload_settings_[static_cast<std::size_t>(r->command)];
            if (f.client_timeout > 0 && now > r->start + f.client_timeout + slack_)
                breach(Rule::answers, now,
                       "edge " + std::to_string(w->edge.value) + " never answered cookie " +
                           std::to_string(cookie) + " on connection " + std::to_string(id.value));
        }
}

} // namespace knotvane::rules
