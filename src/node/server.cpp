#include "node/server.hpp"

#include <algorithm>
#include <limits>

#include "log/log.hpp"

namespace knotvane::node {

void read_service(settings::File &file, Disk *disk) {
    constexpr double any = std::numeric_limits<double>::max();
    auto &speed = file.one("speed", false);
    Time unit = speed.time("unit_time", 0);
    auto cores = speed.count("cores", 1, 1024, 1), slots = speed.count("slots", 1, 65536, 4),
         room = speed.count("room", 0, 1000000, 64);
    auto &cold = file.one("cold", false);
    double start = cold.number("start_part", 0.001, 1, 1),
           multiple = cold.number("multiple", 0, any, 0);
    Time warm = cold.time("warm_after", 0), span = cold.time("span", 0);
    if (multiple > 0 && span <= 0)
        cold.fault("multiple", "needs a span");
    auto &rest = file.one("pauses", false);
    Time every = rest.time("every", 0), length = rest.time("length", 0);
    double part = rest.number("put_off_part", 0, 1, 0);
    Time put_off = rest.time("put_off_every", 0);
    if (!disk)
        return;
    disk->set_speed(unit, static_cast<std::uint32_t>(cores), static_cast<std::uint32_t>(slots),
                    static_cast<std::uint32_t>(room));
    disk->set_cold(start, warm, span, multiple);
    disk->set_pauses(every, length);
    disk->set_put_off(part, put_off);
}

namespace {
// Signs of life to the planner: four within the time after which it takes a node for silent.
constexpr Time sign_every = 500 * ms;

void read_identity(settings::File &file, std::uint64_t &id, std::uint64_t &shard,
                   std::string &listen, std::string &store, bool &sync, std::uint64_t &seed,
                   Time &age, std::string &planner, std::uint64_t &zone) {
    auto &s = file.one("node", true);
    id = s.count("id", 1, std::numeric_limits<std::int64_t>::max());
    shard = s.count("shard", 0, 65535);
    listen = s.text("listen", "127.0.0.1:0");
    store = s.text("store");
    sync = s.flag("sync", true);
    seed = s.count("seed", 0, std::numeric_limits<std::int64_t>::max(), 1);
    // How long ago it is taken to have started: a node that is old is not cold.
    age = s.time("age", 0);
    planner = s.text("planner", ""), zone = s.count("zone", 0, 255, 0);
}
} // namespace

void check(settings::File &file) {
    std::uint64_t id, shard, seed, zone;
    std::string listen, store, planner;
    bool sync;
    Time age;
    read_identity(file, id, shard, listen, store, sync, seed, age, planner, zone);
    read_service(file, nullptr);
}

Server::Server(loop::Loop &loop, settings::File &file) : loop_(loop) {
    std::uint64_t id, shard, seed, zone;
    std::string listen_on, path, planner;
    bool sync;
    Time age;
    read_identity(file, id, shard, listen_on, path, sync, seed, age, planner, zone);
    id_ = NodeId{id}, shard_ = ShardId{static_cast<std::int32_t>(shard)}, address_ = listen_on;
    medium_ = store::file_medium(path, sync);
    store_ = std::make_unique<Store>(*medium_);
    disk_ = std::make_unique<Disk>(id_, shard_, *store_, *this, seed, loop::now() - age);
    read_service(file, disk_.get());
    listen(true);
    if (!planner.empty()) {
        planner_ = std::make_unique<loop::Dialled>(loop_, planner);
        registration_ = std::make_unique<PlannerRegistration>(
            PlannerRegistration::Actions{
                [this] { planner_->dial(); }, [this] { planner_->hang_up(); },
                [this](std::string bytes) { planner_->send(std::move(bytes)); },
                [this](std::string text) { say(std::move(text)); },
                [this](VolumeId of, VolumeId as, std::uint32_t epoch,
                       const std::vector<control::EdgeIncarnation> &late) {
                    return static_cast<control::SnapshotResult>(
                        disk_->open_cut(of, as, epoch, {late.begin(), late.end()}));
                },
                [this](VolumeId of, VolumeId as) { return disk_->seal(of, as); },
                [this](VolumeId as) { return disk_->drop(as); },
                [this](VolumeId of, VolumeId as) {
                    return static_cast<control::SnapshotResult>(disk_->clone(of, as));
                },
                [this](VolumeId a, VolumeId b) { return store_->diff(a, b); }},
            PlannerRegistrationConfig{id_, shard_, ZoneId{static_cast<std::uint32_t>(zone)},
                                      address_, seed + id, sign_every});
        planner_->on_up = [this] { registration_->connected(loop::now()); };
        planner_->on_down = [this] { registration_->disconnected(loop::now()); };
        planner_->on_bytes = [this](std::string_view in) {
            registration_->received(loop::now(), in);
        };
        registration_->start(loop::now(), static_cast<std::uint64_t>(disk_->started()),
                             disk_->started());
    }
    loop_.at_end([this] { return end_of_moment(); });
}
Server::~Server() {
    loop_.at_end(nullptr);
    try {
        store_->close();
    } catch (const std::exception &e) {
        say(e.what()); // the next opening takes it for a store that may have lost something
    }
}

void Server::listen(bool open) {
    if (!open) {
        listener_.reset();
        if (registration_)
            registration_->stop(loop::now());
        return;
    }
    if (listener_)
        return;
    if (registration_)
        registration_->start(loop::now(), static_cast<std::uint64_t>(disk_->started()),
                             disk_->started());
    listener_ =
        std::make_unique<loop::Listener>(loop_, address_, [this](std::shared_ptr<loop::Socket> s) {
            ConnId conn{++next_conn_};
            conns_.add(conn, s);
            s->on_bytes = [this, conn](std::string_view in) {
                disk_->bytes(loop::now(), conn, in);
            };
            s->on_gone = [this, conn](loop::Gone) {
                conns_.remove(conn);
                disk_->gone(loop::now(), conn);
            };
            s->start();
            disk_->came(loop::now(), conn);
        });
    address_ = listener_->address(); // the same port again after a restart
}
void Server::send(ConnId conn, std::string bytes) {
    conns_.send(conn, std::move(bytes));
}
void Server::close(ConnId conn, bool reset) {
    auto s = conns_.remove(conn);
    if (!s)
        return;
    if (reset)
        s->close(true);
    else
        s->close_when_sent();
}
void Server::say(std::string text) {
    log::line(log::warn, text, {{"node", std::to_string(id_.value)}});
}

void Server::stirred() {
    end_of_moment();
}

Time Server::end_of_moment() {
    disk_->tick(loop::now());
    if (registration_) {
        registration_->tick(loop::now());
        planner_->flush();
    }
    conns_.flush();
    return registration_ ? std::min(disk_->next_due(), registration_->next_due())
                         : disk_->next_due();
}

} // namespace knotvane::node
