// A stand-in for a storage node, without I/O of its own: connections' bytes and time in, bytes out.
// It serves some tasks at once, queues others in turn of arrival, turns away what finds no room, is
// slow while it is cold, pauses, puts part of a write's work off, and fails as it is told to.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "control/cluster_state.hpp"
#include "node/background.hpp"
#include "node_protocol/frame.hpp"
#include "store/store.hpp"

namespace knotvane::node {

using store::Medium;
using store::Store;
using ConnId = Id<struct ConnKind, std::uint64_t>;

// What a node asks of its shell.
class Shell {
public:
    virtual ~Shell() = default;
    virtual void send(ConnId conn, std::string bytes) = 0;
    virtual void close(ConnId conn, bool reset) = 0;
    // Whether new connections are taken.
    virtual void listen(bool open) = 0;
    // What an operator should hear: fell over, lost data, a peer that can't be followed.
    virtual void say(std::string text) = 0;
};

// The kinds of fault that a node can be told to have.
enum class Fault {
    mute,   // stops in the middle of an answer and is silent on that connection
    hang,   // takes tasks and starts none; what it took is done when the fault ends
    slow,   // work takes `size` times as long
    reset,  // resets the connection on which an ask comes
    refuse, // takes no connection and resets those it has
    full,   // turns every task away
    fail,   // answers with an error, the work not done
    cut,    // closes in the middle of an answer
    garble, // one bit of an answer is turned over on the way
    late,   // answers leave `size` seconds late
    rot,    // one stored bit of the range is turned over before a read
};

class Disk {
public:
    // `now`: epoch nanoseconds, from which its start counts.
    Disk(NodeId id, ShardId shard, Store &store, Shell &shell, std::uint64_t seed, Time now);

    // `unit_time`: what a unit takes on a warm, unhurried core; 0: no work is modelled, all is
    // served at once.
    void set_speed(Time unit_time, std::uint32_t cores, std::uint32_t slots, std::uint32_t room);
    // Its capacity grows from `start_part` evenly over `warm_after`. Sent more than `multiple`
    // times what it can do within `span`, it falls over until it is restarted. 0: never.
    void set_cold(double start_part, Time warm_after, Time span, double multiple);
    // About every `every` it starts nothing for `length`.
    void set_pauses(Time every, Time length);
    // This part of a write's work is done later, all together each `every`.
    void set_put_off(double part, Time every);

    // ---- Cuts, as the planner orders them. Each may be ordered again.
    // `late`: the edges' processes that have stopped beginning changes of before `epoch`; what they
    // began still goes into both. Any other's change of before it is turned away. Not durable
    // before the seal.
    Store::Cut open_cut(VolumeId of, VolumeId as, std::uint32_t epoch,
                        std::set<control::EdgeIncarnation> late);
    bool seal(VolumeId of, VolumeId as);
    Store::Cut clone(VolumeId of, VolumeId as);
    // True where nothing of it is left but space to reclaim, which is done in the background.
    bool drop(VolumeId as);

    void came(Time now, ConnId conn);
    void bytes(Time now, ConnId conn, std::string_view in);
    void gone(Time now, ConnId conn);
    // When something is due next; never (the largest time) if nothing is.
    Time next_due() const;
    void tick(Time now);

    // From a moment until another, or for the next `count` asks or answers that it can meet, 0: all
    // of them.
    void fault(Fault kind, Time from, Time until, std::uint64_t count, double size);
    // A new process on the same store: connections and waiting work are gone, it is cold.
    void restart(Time now, bool lose_unflushed);

    Time started() const { return started_; }
    bool fallen() const { return fallen_; }
    std::size_t working() const { return working_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    std::uint64_t served() const { return served_; }

private:
    struct Ask {
        ConnId conn;
        node_protocol::Kind kind;
        std::uint8_t flags;
        std::uint64_t tag;
        VolumeId volume;
        std::uint64_t offset;
        std::uint32_t length;
        double units;
        std::uint64_t incarnation, number;
        Time not_after;
        std::string payload;
        std::uint32_t epoch;
        bool background = false;
    };
    struct Peer;
    struct Faulty {
        Fault kind;
        Time from, until;
        std::uint64_t left;
        bool counted;
        double size;
    };

    bool hit(Fault kind, Time now, double *size = nullptr);
    bool lasts(Fault kind, Time now) const;
    void take(Time now, Ask ask);
    bool bears(Time now, double units);
    void start(Time now);
    void serve(Time now, Ask &ask);
    void answer(Time now, const Ask &ask, node_protocol::Status status,
                std::string_view payload = {}, std::uint32_t epoch = 0);
    void tidy(Time now);
    void drop(ConnId conn, bool reset);
    double capacity(Time now) const;

    NodeId id_;
    ShardId shard_;
    Store &store_;
    Shell &shell_;
    std::ranlux24_base chance_;
    Time started_, warm_after_ = 0, span_ = 0, unit_time_ = 0, pause_every_ = 0, pause_length_ = 0,
                   put_off_every_ = 0, next_pause_ = 0, paused_until_ = 0, next_put_off_ = 0;
    double start_part_ = 1, multiple_ = 0, put_off_part_ = 0, put_off_units_ = 0;
    std::uint32_t cores_ = 1, slots_ = 1, room_ = 0;
    bool fallen_ = false;
    std::uint64_t served_ = 0, next_answer_ = 0;
    std::map<ConnId, std::shared_ptr<Peer>> peers_;
    std::deque<Ask> waiting_;
    std::multimap<Time, Ask> working_; // by when it is done
    std::map<std::pair<Time, std::uint64_t>, std::pair<ConnId, std::string>>
        leaving_;                                 // answers kept back
    std::deque<std::pair<Time, double>> arrived_; // units, while cold
    std::vector<Faulty> faults_;
    std::map<VolumeId, std::set<control::EdgeIncarnation>>
        late_; // by volume: whose changes of an earlier epoch count
    Background background_;
};

} // namespace knotvane::node
