#include "control/messages.hpp"

#include <cmath>
#include <cstring>
#include <stdexcept>
#include <tuple>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

#include "node_protocol/crc.hpp"

namespace knotvane::control {
namespace {

// A status of some hundred edges is the longest message; a length past this is no length.
constexpr std::uint32_t most_bytes = 1u << 20;
// Nothing here is nested deeper than a list in a message.
constexpr std::size_t most_deep = 4, most_list = 1 << 16;

enum class Kind : std::uint8_t {
    edge_hello = 1,
    renew,
    ask,
    serve,
    witness,
    superseded,
    node_hello,
    node_renew,
    ask_status,
    ask_drain,
    ask_cut,
    tell_cut,
    tell_diff,
    begins = 20,
    node,
    plan,
    volume,
    part,
    no_node,
    no_plan,
    no_volume,
    no_part,
    ends,
    renewed,
    node_told,
    status,
    effect,
    ask_witness,
    cut_hold,
    cut_go,
    cut_release,
    cut_open,
    cut_seal,
    cut_drop,
    cut_clone,
    ask_diff,
};

using Packer = msgpack::packer<msgpack::sbuffer>;
template <class T>
void pack(Packer &to, const T &field) {
    to.pack(field);
}
template <class K, class R>
void pack(Packer &to, const Id<K, R> &id) {
    to.pack(id.value);
}
void pack(Packer &to, SnapshotStep s) {
    to.pack(static_cast<std::uint8_t>(s));
}
void pack(Packer &to, NodeState s) {
    to.pack(static_cast<std::uint8_t>(s));
}
template <class K, class R>
void pack(Packer &to, const std::vector<Id<K, R>> &ids) {
    to.pack_array(static_cast<std::uint32_t>(ids.size()));
    for (auto id : ids)
        to.pack(id.value);
}

template <class... F>
std::string message(Kind kind, const F &...fields) {
    msgpack::sbuffer buf;
    Packer to(buf);
    to.pack_array(1 + sizeof...(fields));
    to.pack(static_cast<std::uint8_t>(kind));
    (pack(to, fields), ...);
    std::uint32_t front[2] = {static_cast<std::uint32_t>(buf.size()),
                              crc32c({buf.data(), buf.size()})};
    std::string out(sizeof front + buf.size(), '\0');
    std::memcpy(out.data(), front, sizeof front);
    std::memcpy(out.data() + sizeof front, buf.data(), buf.size());
    return out;
}

template <class T>
struct is_id : std::false_type {};
template <class K, class R>
struct is_id<Id<K, R>> : std::true_type {};
template <class T>
struct is_list : std::false_type {};
template <class T>
struct is_list<std::vector<T>> : std::true_type {};

// Takes the fields of one message one by one; throws where one is missing or of another kind.
class Fields {
public:
    explicit Fields(const msgpack::object &o) {
        if (o.type != msgpack::type::ARRAY || o.via.array.size == 0)
            throw std::runtime_error("expected a list");
        at_ = o.via.array.ptr, end_ = at_ + o.via.array.size;
    }
    template <class T>
    T take() {
        if constexpr (std::is_same_v<T, Node>) {
            Node n;
            n.address = take<std::string>(), n.shard = take<ShardId>(), n.zone = take<ZoneId>();
            n.state = take<NodeState>(), n.started = take<Time>(),
            n.incarnation = take<std::uint64_t>();
            return n;
        } else if constexpr (std::is_same_v<T, Plan>) {
            Plan p;
            p.name = take<std::string>(), p.weight = take<double>(), p.usual = take<double>();
            p.reserve = take<double>(), p.price = take<double>(), p.rate = take<double>(),
            p.burst = take<double>();
            return p;
        } else if constexpr (std::is_same_v<T, Volume>) {
            Volume v;
            v.name = take<std::string>(), v.size = take<std::uint64_t>(),
            v.least = take<std::uint32_t>();
            v.plan = take<PlanId>(), v.place = take<VolumeId>(), v.charge = take<VolumeId>();
            v.of = take<VolumeId>(), v.epoch = take<std::uint32_t>(), v.frozen = take<bool>(),
            v.taken = take<Time>();
            return v;
        } else if constexpr (std::is_same_v<T, QuotaShare>) {
            QuotaShare p;
            p.millionths = take<std::uint32_t>(), p.sharers = take<std::uint32_t>();
            if (p.millionths > whole_limit)
                throw std::runtime_error("a part of more than the whole");
            return p;
        } else {
            if (at_ == end_)
                throw std::runtime_error("a field is missing");
            return one<T>(*at_++);
        }
    }
    void done() const {
        if (at_ != end_)
            throw std::runtime_error("more fields than expected");
    }

private:
    template <class T>
    static T one(const msgpack::object &f) {
        if constexpr (is_id<T>::value) {
            return T{f.as<decltype(T::value)>()};
        } else if constexpr (is_list<T>::value) {
            if (f.type != msgpack::type::ARRAY)
                throw std::runtime_error("expected a list of ids");
            T out;
            for (std::uint32_t i = 0; i < f.via.array.size; ++i)
                out.push_back(one<typename T::value_type>(f.via.array.ptr[i]));
            return out;
        } else if constexpr (std::is_same_v<T, NodeState>) {
            auto v = f.as<std::uint8_t>();
            if (v > static_cast<std::uint8_t>(NodeState::ready))
                throw std::runtime_error("expected a state, 0 to 2");
            return static_cast<NodeState>(v);
        } else if constexpr (std::is_same_v<T, SnapshotStep>) {
            auto v = f.as<std::uint8_t>();
            if (v > static_cast<std::uint8_t>(SnapshotStep::cloned))
                throw std::runtime_error("expected a step, 0 to 7");
            return static_cast<SnapshotStep>(v);
        } else if constexpr (std::is_same_v<T, double>) {
            auto v = f.as<double>();
            if (!std::isfinite(v))
                throw std::runtime_error("expected a finite number");
            return v;
        } else {
            return f.as<T>();
        }
    }
    const msgpack::object *at_, *end_;
};

// All of a message's fields, in the order and kinds of what hears it; `check` looks at them before
// it does.
template <class... A, class Check>
void hear(Fields &f, MessageHandler &to, void (MessageHandler::*what)(A...), Check check) {
    std::tuple<std::decay_t<A>...> fields{
        f.take<std::decay_t<A>>()...}; // braces: one after the other
    f.done();
    std::apply(check, fields);
    std::apply([&](auto &...field) { (to.*what)(std::move(field)...); }, fields);
}
template <class... A>
void hear(Fields &f, MessageHandler &to, void (MessageHandler::*what)(A...)) {
    hear(f, to, what, [](auto &...) {});
}
void expect_protocol(Fields &f) {
    if (auto p = f.take<std::uint32_t>(); p != protocol)
        throw std::runtime_error("protocol " + std::to_string(p) + ", expected " +
                                 std::to_string(protocol));
}

void decode(Fields &f, MessageHandler &to) {
    auto kind = f.take<std::uint8_t>();
    switch (static_cast<Kind>(kind)) {
    case Kind::edge_hello:
        expect_protocol(f);
        return hear(f, to, &MessageHandler::edge_hello);
    case Kind::renew:
        return hear(f, to, &MessageHandler::renew);
    case Kind::ask:
        return hear(f, to, &MessageHandler::ask);
    case Kind::serve:
        return hear(f, to, &MessageHandler::serve);
    case Kind::witness:
        return hear(f, to, &MessageHandler::witness);
    case Kind::superseded:
        return hear(f, to, &MessageHandler::superseded);
    case Kind::node_hello:
        expect_protocol(f);
        return hear(f, to, &MessageHandler::node_hello,
                    [](auto &, auto &, auto &, auto &, auto &, Time age) {
                        if (age < 0)
                            throw std::runtime_error("expected an age of 0 or more");
                    });
    case Kind::node_renew:
        return hear(f, to, &MessageHandler::node_renew);
    case Kind::ask_status:
        return hear(f, to, &MessageHandler::status_asked);
    case Kind::ask_drain:
        return hear(f, to, &MessageHandler::drain_asked, [](auto &, auto &, std::uint8_t how) {
            if (how > 2)
                throw std::runtime_error("expected a drain asked, done or forced, 0 to 2");
        });
    case Kind::ask_cut:
        return hear(f, to, &MessageHandler::cut_asked,
                    [](std::uint8_t what, auto &, auto &, auto &) {
                        if (what > 3)
                            throw std::runtime_error(
                                "expected a snapshot taken, dropped, cloned or compared, 0 to 3");
                    });
    case Kind::tell_cut:
        return hear(f, to, &MessageHandler::cut_told, [](auto &, auto &, std::uint8_t how, auto &) {
            if (how > 4)
                throw std::runtime_error("expected how a cut went, 0 to 4");
        });
    case Kind::tell_diff:
        return hear(f, to, &MessageHandler::diff_told, [](auto &, auto &ranges, auto &) {
            if (ranges.size() % 2 != 0)
                throw std::runtime_error("expected offsets and lengths in turn");
        });
    case Kind::cut_hold:
        return hear(f, to, &MessageHandler::cut_hold);
    case Kind::cut_go:
        return hear(f, to, &MessageHandler::cut_go);
    case Kind::cut_release:
        return hear(f, to, &MessageHandler::cut_release);
    case Kind::cut_open:
        return hear(f, to, &MessageHandler::cut_open);
    case Kind::cut_seal:
        return hear(f, to, &MessageHandler::cut_seal);
    case Kind::cut_drop:
        return hear(f, to, &MessageHandler::cut_drop);
    case Kind::cut_clone:
        return hear(f, to, &MessageHandler::cut_clone);
    case Kind::ask_diff:
        return hear(f, to, &MessageHandler::diff_asked);
    case Kind::begins:
        return hear(f, to, &MessageHandler::begins);
    case Kind::node:
        return hear(f, to, &MessageHandler::node);
    case Kind::plan:
        return hear(f, to, &MessageHandler::plan);
    case Kind::volume:
        return hear(f, to, &MessageHandler::volume);
    case Kind::part:
        return hear(f, to, &MessageHandler::part);
    case Kind::no_node:
        return hear(f, to, &MessageHandler::no_node);
    case Kind::no_plan:
        return hear(f, to, &MessageHandler::no_plan);
    case Kind::no_volume:
        return hear(f, to, &MessageHandler::no_volume);
    case Kind::no_part:
        return hear(f, to, &MessageHandler::no_part);
    case Kind::ends:
        return hear(f, to, &MessageHandler::ends);
    case Kind::renewed:
        return hear(f, to, &MessageHandler::renewed);
    case Kind::node_told:
        return hear(f, to, &MessageHandler::node_told);
    case Kind::ask_witness:
        return hear(f, to, &MessageHandler::witness_asked);
    case Kind::status:
        return hear(f, to, &MessageHandler::status);
    case Kind::effect:
        return hear(f, to, &MessageHandler::effect);
    }
    throw std::runtime_error("kind " + std::to_string(kind) + " is not known");
}

} // namespace

std::string edge_hello(EdgeId edge, const std::string &listen, Term term, std::uint64_t instance,
                       std::uint64_t lineage, Version version, const std::vector<NodeId> &draining,
                       const std::vector<VolumeId> &serving) {
    return message(Kind::edge_hello, protocol, edge, listen, term, instance, lineage, version,
                   draining, serving);
}
std::string renew(Time at, Term term, Version version) {
    return message(Kind::renew, at, term, version);
}
std::string ask() {
    return message(Kind::ask);
}
std::string serve(VolumeId volume, bool on) {
    return message(Kind::serve, volume, on);
}
std::string witness(NodeId node, bool reached) {
    return message(Kind::witness, node, reached);
}
std::string superseded(Term term) {
    return message(Kind::superseded, term);
}
std::string node_hello(NodeId node, ShardId shard, ZoneId zone, const std::string &address,
                       std::uint64_t incarnation, Time age) {
    return message(Kind::node_hello, protocol, node, shard, zone, address, incarnation, age);
}
std::string node_renew() {
    return message(Kind::node_renew);
}
std::string ask_status() {
    return message(Kind::ask_status);
}
std::string ask_drain(NodeId node, bool draining, std::uint8_t how) {
    return message(Kind::ask_drain, node, draining, how);
}
std::string ask_cut(std::uint8_t what, const std::string &name, const std::string &as,
                    const std::string &plan) {
    return message(Kind::ask_cut, what, name, as, plan);
}
std::string tell_cut(VolumeId as, SnapshotStep step, std::uint8_t how,
                     EdgeIncarnation incarnation) {
    return message(Kind::tell_cut, as, step, how, incarnation);
}
std::string tell_diff(std::uint64_t question, const std::vector<std::uint64_t> &ranges, bool more) {
    return message(Kind::tell_diff, question, ranges, more);
}
std::string cut_hold(VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) {
    return message(Kind::cut_hold, of, as, epoch, longest);
}
std::string cut_go(VolumeId of, VolumeId as, std::uint32_t epoch) {
    return message(Kind::cut_go, of, as, epoch);
}
std::string cut_release(VolumeId of, VolumeId as) {
    return message(Kind::cut_release, of, as);
}
std::string cut_open(VolumeId of, VolumeId as, std::uint32_t epoch,
                     const std::vector<EdgeIncarnation> &late) {
    return message(Kind::cut_open, of, as, epoch, late);
}
std::string cut_seal(VolumeId of, VolumeId as) {
    return message(Kind::cut_seal, of, as);
}
std::string cut_drop(VolumeId as) {
    return message(Kind::cut_drop, as);
}
std::string cut_clone(VolumeId of, VolumeId as) {
    return message(Kind::cut_clone, of, as);
}
std::string ask_diff(std::uint64_t question, VolumeId a, VolumeId b, std::uint64_t from) {
    return message(Kind::ask_diff, question, a, b, from);
}
std::string begins(Term term, std::uint64_t instance, std::uint64_t lineage, Version version,
                   Version from, Time now) {
    return message(Kind::begins, term, instance, lineage, version, from, now);
}
std::string put(NodeId id, const Node &n) {
    return message(Kind::node, id, n.address, n.shard, n.zone, n.state, n.started, n.incarnation);
}
std::string put(PlanId id, const Plan &p) {
    return message(Kind::plan, id, p.name, p.weight, p.usual, p.reserve, p.price, p.rate, p.burst);
}
std::string put(VolumeId id, const Volume &v) {
    return message(Kind::volume, id, v.name, v.size, v.least, v.plan, v.place, v.charge, v.of,
                   v.epoch, v.frozen, v.taken);
}
std::string put(VolumeId id, const QuotaShare &p) {
    return message(Kind::part, id, p.millionths, p.sharers);
}
std::string drop(NodeId id) {
    return message(Kind::no_node, id);
}
std::string drop(PlanId id) {
    return message(Kind::no_plan, id);
}
std::string drop_volume(VolumeId id) {
    return message(Kind::no_volume, id);
}
std::string drop_quota_share(VolumeId id) {
    return message(Kind::no_part, id);
}
std::string ends(Version version, std::uint64_t count) {
    return message(Kind::ends, version, count);
}
std::string renewed(Time at, Term term, Time lease, Time fade, Version least) {
    return message(Kind::renewed, at, term, lease, fade, least);
}
std::string ask_witness(NodeId node) {
    return message(Kind::ask_witness, node);
}
std::string tell_node(NodeState state) {
    return message(Kind::node_told, state);
}
std::string status(const std::string &json) {
    return message(Kind::status, json);
}
std::string effect(bool allowed, bool done, const std::string &text) {
    return message(Kind::effect, allowed, done, text);
}

std::string Reader::bytes(std::string_view in, MessageHandler &to) {
    if (!fault_.empty())
        return fault_;
    rest_.append(in);
    std::string_view left = rest_;
    while (left.size() >= 8) {
        std::uint32_t front[2];
        std::memcpy(front, left.data(), sizeof front);
        if (front[0] == 0 || front[0] > most_bytes)
            return fault_ = "a message of " + std::to_string(front[0]) + " bytes, expected 1 to " +
                            std::to_string(most_bytes);
        if (left.size() < sizeof front + front[0])
            break;
        auto body = left.substr(sizeof front, front[0]);
        if (crc32c(body) != front[1])
            return fault_ = "a message does not match its checksum";
        try {
            auto handle = msgpack::unpack(
                body.data(), body.size(), nullptr, nullptr,
                msgpack::unpack_limit(most_list, 0, most_bytes, most_bytes, 0, most_deep));
            Fields fields(handle.get());
            decode(fields, to);
        } catch (const std::exception &e) {
            return fault_ = std::string("no message of this protocol: ") + e.what();
        }
        left.remove_prefix(sizeof front + front[0]);
    }
    rest_.erase(0, rest_.size() - left.size());
    return {};
}

} // namespace knotvane::control
