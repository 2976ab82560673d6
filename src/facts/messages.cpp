#include "facts/messages.hpp"

#include <cmath>
#include <cstring>
#include <stdexcept>

#include <msgpack.hpp>

#include "frames/crc.hpp"

namespace knotvane::facts {
namespace {

// A status of some hundred edges is the longest message; a length past this is no length.
constexpr std::uint32_t most_bytes = 1u << 20;
// Nothing here is nested deeper than a list in a message.
constexpr std::size_t most_deep = 4, most_list = 1 << 16;

enum class Kind : std::uint8_t {
    edge_hello = 1, renew, ask, serve, witness, superseded, node_hello, node_renew, ask_status, ask_drain,
    begins = 20, node, plan, volume, part, no_node, no_plan, no_volume, no_part, ends, renewed, node_told, status,
    effect, ask_witness,
};

using Packer = msgpack::packer<msgpack::sbuffer>;
template <class T> void pack(Packer &to, const T &field) { to.pack(field); }
template <class K, class R> void pack(Packer &to, const Id<K, R> &id) { to.pack(id.value); }
void pack(Packer &to, NodeState s) { to.pack(static_cast<std::uint8_t>(s)); }
template <class K, class R> void pack(Packer &to, const std::vector<Id<K, R>> &ids) {
    to.pack_array(static_cast<std::uint32_t>(ids.size()));
    for (auto id : ids) to.pack(id.value);
}

template <class... F> std::string message(Kind kind, const F &...fields) {
    msgpack::sbuffer buf;
    Packer to(buf);
    to.pack_array(1 + sizeof...(fields));
    to.pack(static_cast<std::uint8_t>(kind));
    (pack(to, fields), ...);
    std::uint32_t front[2] = {static_cast<std::uint32_t>(buf.size()), crc32c({buf.data(), buf.size()})};
    std::string out(sizeof front + buf.size(), '\0');
    std::memcpy(out.data(), front, sizeof front);
    std::memcpy(out.data() + sizeof front, buf.data(), buf.size());
    return out;
}

// Takes the fields of one message one by one; throws where one is missing or of another kind.
class Fields {
  public:
    explicit Fields(const msgpack::object &o) {
        if (o.type != msgpack::type::ARRAY || o.via.array.size == 0) throw std::runtime_error("expected a list");
        at_ = o.via.array.ptr, end_ = at_ + o.via.array.size;
    }
    template <class T> T get() {
        const auto &f = next();
        if constexpr (std::is_same_v<T, double>) {
            auto v = f.as<double>();
            if (!std::isfinite(v)) throw std::runtime_error("expected a finite number");
            return v;
        } else {
            return f.as<T>();
        }
    }
    template <class I> I id() { return I{get<decltype(I::value)>()}; }
    template <class I> std::vector<I> ids() {
        const auto &f = next();
        if (f.type != msgpack::type::ARRAY) throw std::runtime_error("expected a list of ids");
        std::vector<I> out;
        for (std::uint32_t i = 0; i < f.via.array.size; ++i)
            out.push_back(I{f.via.array.ptr[i].as<decltype(I::value)>()});
        return out;
    }
    NodeState state() {
        auto v = get<std::uint8_t>();
        if (v > static_cast<std::uint8_t>(NodeState::ready)) throw std::runtime_error("expected a state, 0 to 2");
        return static_cast<NodeState>(v);
    }
    void done() {
        if (at_ != end_) throw std::runtime_error("more fields than expected");
    }

  private:
    const msgpack::object &next() {
        if (at_ == end_) throw std::runtime_error("a field is missing");
        return *at_++;
    }
    const msgpack::object *at_, *end_;
};

void decode(Fields &f, Heard &to) {
    auto kind = f.get<std::uint8_t>();
    // Fields are taken in their order; each message ends where its last field does.
    switch (static_cast<Kind>(kind)) {
    case Kind::edge_hello: {
        if (auto p = f.get<std::uint32_t>(); p != protocol)
            throw std::runtime_error("protocol " + std::to_string(p) + ", expected " + std::to_string(protocol));
        auto edge = f.id<EdgeId>();
        auto listen = f.get<std::string>();
        auto term = f.id<Term>();
        auto instance = f.get<std::uint64_t>(), lineage = f.get<std::uint64_t>();
        auto version = f.id<Version>();
        auto draining = f.ids<NodeId>();
        auto serving = f.ids<VolumeId>();
        f.done();
        return to.edge_hello(edge, listen, term, instance, lineage, version, draining, serving);
    }
    case Kind::renew: {
        auto at = f.get<Time>();
        auto term = f.id<Term>();
        auto version = f.id<Version>();
        f.done();
        return to.renew(at, term, version);
    }
    case Kind::ask: f.done(); return to.ask();
    case Kind::serve: {
        auto volume = f.id<VolumeId>();
        auto on = f.get<bool>();
        f.done();
        return to.serve(volume, on);
    }
    case Kind::witness: {
        auto node = f.id<NodeId>();
        auto reached = f.get<bool>();
        f.done();
        return to.witness(node, reached);
    }
    case Kind::superseded: {
        auto term = f.id<Term>();
        f.done();
        return to.superseded(term);
    }
    case Kind::node_hello: {
        if (auto p = f.get<std::uint32_t>(); p != protocol)
            throw std::runtime_error("protocol " + std::to_string(p) + ", expected " + std::to_string(protocol));
        auto node = f.id<NodeId>();
        auto shard = f.id<ShardId>();
        auto zone = f.id<ZoneId>();
        auto address = f.get<std::string>();
        auto life = f.get<std::uint64_t>();
        auto age = f.get<Time>();
        if (age < 0) throw std::runtime_error("expected an age of 0 or more");
        f.done();
        return to.node_hello(node, shard, zone, address, life, age);
    }
    case Kind::node_renew: f.done(); return to.node_renew();
    case Kind::ask_status: f.done(); return to.status_asked();
    case Kind::ask_drain: {
        auto node = f.id<NodeId>();
        auto draining = f.get<bool>();
        auto how = f.get<std::uint8_t>();
        if (how > 2) throw std::runtime_error("expected a drain asked, done or forced, 0 to 2");
        f.done();
        return to.drain_asked(node, draining, how);
    }
    case Kind::begins: {
        auto term = f.id<Term>();
        auto instance = f.get<std::uint64_t>(), lineage = f.get<std::uint64_t>();
        auto version = f.id<Version>(), from = f.id<Version>();
        auto now = f.get<Time>();
        f.done();
        return to.begins(term, instance, lineage, version, from, now);
    }
    case Kind::node: {
        auto id = f.id<NodeId>();
        Node n;
        n.address = f.get<std::string>(), n.shard = f.id<ShardId>(), n.zone = f.id<ZoneId>();
        n.state = f.state(), n.started = f.get<Time>(), n.life = f.get<std::uint64_t>();
        f.done();
        return to.node(id, std::move(n));
    }
    case Kind::plan: {
        auto id = f.id<PlanId>();
        Plan p;
        p.name = f.get<std::string>(), p.weight = f.get<double>(), p.usual = f.get<double>();
        p.reserve = f.get<double>(), p.price = f.get<double>(), p.rate = f.get<double>(), p.burst = f.get<double>();
        f.done();
        return to.plan(id, std::move(p));
    }
    case Kind::volume: {
        auto id = f.id<VolumeId>();
        Volume v;
        v.name = f.get<std::string>(), v.size = f.get<std::uint64_t>(), v.least = f.get<std::uint32_t>();
        v.plan = f.id<PlanId>();
        f.done();
        return to.volume(id, std::move(v));
    }
    case Kind::part: {
        auto id = f.id<VolumeId>();
        Part p;
        p.millionths = f.get<std::uint32_t>(), p.hosts = f.get<std::uint32_t>();
        if (p.millionths > whole_limit) throw std::runtime_error("a part of more than the whole");
        f.done();
        return to.part(id, p);
    }
    case Kind::no_node: {
        auto id = f.id<NodeId>();
        f.done();
        return to.no_node(id);
    }
    case Kind::no_plan: {
        auto id = f.id<PlanId>();
        f.done();
        return to.no_plan(id);
    }
    case Kind::no_volume: {
        auto id = f.id<VolumeId>();
        f.done();
        return to.no_volume(id);
    }
    case Kind::no_part: {
        auto id = f.id<VolumeId>();
        f.done();
        return to.no_part(id);
    }
    case Kind::ends: {
        auto version = f.id<Version>();
        auto count = f.get<std::uint64_t>();
        f.done();
        return to.ends(version, count);
    }
    case Kind::renewed: {
        auto at = f.get<Time>();
        auto term = f.id<Term>();
        auto lease = f.get<Time>(), fade = f.get<Time>();
        auto least = f.id<Version>();
        f.done();
        return to.renewed(at, term, lease, fade, least);
    }
    case Kind::node_told: {
        auto state = f.state();
        f.done();
        return to.node_told(state);
    }
    case Kind::ask_witness: {
        auto node = f.id<NodeId>();
        f.done();
        return to.witness_asked(node);
    }
    case Kind::status: {
        auto text = f.get<std::string>();
        f.done();
        return to.status(text);
    }
    case Kind::effect: {
        auto allowed = f.get<bool>(), done = f.get<bool>();
        auto text = f.get<std::string>();
        f.done();
        return to.effect(allowed, done, text);
    }
    }
    throw std::runtime_error("kind " + std::to_string(kind) + " is not known");
}

} // namespace

std::string edge_hello(EdgeId edge, const std::string &listen, Term term, std::uint64_t instance,
                       std::uint64_t lineage, Version version, const std::vector<NodeId> &draining,
                       const std::vector<VolumeId> &serving) {
    return message(Kind::edge_hello, protocol, edge, listen, term, instance, lineage, version, draining, serving);
}
std::string renew(Time at, Term term, Version version) { return message(Kind::renew, at, term, version); }
std::string ask() { return message(Kind::ask); }
std::string serve(VolumeId volume, bool on) { return message(Kind::serve, volume, on); }
std::string witness(NodeId node, bool reached) { return message(Kind::witness, node, reached); }
std::string superseded(Term term) { return message(Kind::superseded, term); }
std::string node_hello(NodeId node, ShardId shard, ZoneId zone, const std::string &address, std::uint64_t life,
                       Time age) {
    return message(Kind::node_hello, protocol, node, shard, zone, address, life, age);
}
std::string node_renew() { return message(Kind::node_renew); }
std::string ask_status() { return message(Kind::ask_status); }
std::string ask_drain(NodeId node, bool draining, std::uint8_t how) {
    return message(Kind::ask_drain, node, draining, how);
}
std::string begins(Term term, std::uint64_t instance, std::uint64_t lineage, Version version, Version from,
                   Time now) {
    return message(Kind::begins, term, instance, lineage, version, from, now);
}
std::string put(NodeId id, const Node &n) {
    return message(Kind::node, id, n.address, n.shard, n.zone, n.state, n.started, n.life);
}
std::string put(PlanId id, const Plan &p) {
    return message(Kind::plan, id, p.name, p.weight, p.usual, p.reserve, p.price, p.rate, p.burst);
}
std::string put(VolumeId id, const Volume &v) {
    return message(Kind::volume, id, v.name, v.size, v.least, v.plan);
}
std::string put(VolumeId id, const Part &p) { return message(Kind::part, id, p.millionths, p.hosts); }
std::string drop(NodeId id) { return message(Kind::no_node, id); }
std::string drop(PlanId id) { return message(Kind::no_plan, id); }
std::string drop_volume(VolumeId id) { return message(Kind::no_volume, id); }
std::string drop_part(VolumeId id) { return message(Kind::no_part, id); }
std::string ends(Version version, std::uint64_t count) { return message(Kind::ends, version, count); }
std::string renewed(Time at, Term term, Time lease, Time fade, Version least) {
    return message(Kind::renewed, at, term, lease, fade, least);
}
std::string ask_witness(NodeId node) { return message(Kind::ask_witness, node); }
std::string tell_node(NodeState state) { return message(Kind::node_told, state); }
std::string status(const std::string &json) { return message(Kind::status, json); }
std::string effect(bool allowed, bool done, const std::string &text) {
    return message(Kind::effect, allowed, done, text);
}

std::string Reader::bytes(std::string_view in, Heard &to) {
    if (!fault_.empty()) return fault_;
    rest_.append(in);
    std::string_view left = rest_;
    while (left.size() >= 8) {
        std::uint32_t front[2];
        std::memcpy(front, left.data(), sizeof front);
        if (front[0] == 0 || front[0] > most_bytes)
            return fault_ = "a message of " + std::to_string(front[0]) + " bytes, expected 1 to " +
                            std::to_string(most_bytes);
        if (left.size() < sizeof front + front[0]) break;
        auto body = left.substr(sizeof front, front[0]);
        if (crc32c(body) != front[1]) return fault_ = "a message does not match its checksum";
        try {
            auto handle = msgpack::unpack(body.data(), body.size(), nullptr, nullptr,
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

} // namespace knotvane::facts
