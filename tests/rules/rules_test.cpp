// The rule checker: for each rule, traffic that breaks it and must be reported, and traffic that
// keeps it.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "load/session.hpp"
#include "nbd/wire.hpp"
#include "record/recording.hpp"
#include "rules/figures.hpp"

using namespace knotvane;
using namespace knotvane::rules;

namespace {

struct Quiet final : load::Replies {
    void opened(std::uint64_t, std::uint16_t) override {}
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t, std::uint32_t, std::string_view) override {}
    void broken(std::string_view) override {}
};

// A client's and a node's wire of edge 0, and the frames on them.
struct Scene {
    RuleChecker j{ms};
    ConnectionId client{1}, node{2}, other{3};
    std::uint64_t tag = 0;
    Scene() {
        j.set_workload(0, sec, Idempotency::idempotent, 0, 0);
        j.set_workload(1, sec, Idempotency::deduplicated, 500 * ms, 600 * ms);
        j.set_workload(3, sec, Idempotency::idempotent, 0, 0);
        j.set_attempts(3, false);
        j.set_drain_grace(250 * ms);
        j.client_connected(0, client, EdgeId{0}, VolumeId{5});
        j.node_connected(0, node, EdgeId{0}, NodeId{1});
        j.node_connected(0, other, EdgeId{0}, NodeId{2});
        j.bytes_seen(0, client, false, std::string("\0\0\0\3", 4));
        j.bytes_seen(0, client, true, std::string(18, 'x'));
    }
    void ask(Time at, std::uint16_t command, std::uint64_t cookie, std::uint64_t offset,
             char fill = 'x') {
        Quiet q;
        load::Session s(q, "v", false);
        s.take_out();
        s.ask(command, 0, cookie, offset, command == nbd::cmd_flush ? 0 : 512,
              command == nbd::cmd_write ? std::string(512, fill) : "");
        j.bytes_seen(at, client, false, s.take_out());
    }
    void reply(Time at, std::uint64_t cookie, std::uint32_t error = 0,
               const std::string &data = "") {
        std::string r;
        nbd::put(r, nbd::simple_reply_magic);
        nbd::put(r, error);
        nbd::put(r, cookie);
        j.bytes_seen(at, client, true, r + data);
    }
    std::uint64_t shot(Time at, node_protocol::FrameKind kind, std::uint64_t task,
                       std::uint64_t offset, ConnectionId wire = ConnectionId{2}, int shard = 0,
                       std::uint32_t units = 1000, char fill = 'x') {
        j.bytes_seen(at, wire, true,
                     node_protocol::encode({.kind = kind,
                                            .tag = ++tag,
                                            .volume = VolumeId{5},
                                            .offset = offset,
                                            .length = 512,
                                            .milliunits = units,
                                            .incarnation = 1,
                                            .request_number = task,
                                            .shard = ShardId{shard},
                                            .payload = kind == node_protocol::FrameKind::write
                                                           ? std::string(512, fill)
                                                           : ""}));
        return tag;
    }
    void answer(Time at, std::uint64_t t, node_protocol::Status status = node_protocol::Status::ok,
                ConnectionId wire = ConnectionId{2}) {
        j.bytes_seen(at, wire, false,
                     node_protocol::encode({.kind = node_protocol::FrameKind::answer,
                                            .status = status,
                                            .tag = t,
                                            .volume = VolumeId{5},
                                            .length = 512,
                                            .incarnation = 1}));
    }
    std::uint64_t broken(Rule rule) {
        j.finish(100 * sec);
        return j.breaches(rule);
    }
    // A write done as it should be.
    void write(Time at, std::uint64_t id, std::uint64_t offset, char fill) {
        ask(at, nbd::cmd_write, id, offset, fill);
        answer(at + 2, shot(at + 1, node_protocol::FrameKind::write, id, offset, ConnectionId{2}, 0,
                            1000, fill));
        reply(at + 3, id);
    }
};
using node_protocol::FrameKind;
using node_protocol::Status;

} // namespace

TEST_CASE("traffic that keeps every rule is reported as passed") {
    Scene s;
    s.write(sec, 1, 0, 'a');
    s.write(2 * sec, 2, 0, 'b');
    s.ask(3 * sec, nbd::cmd_read, 3, 0);
    s.answer(3 * sec + 2, s.shot(3 * sec + 1, FrameKind::read, 3, 0));
    s.reply(3 * sec + 3, 3, 0, std::string(512, 'b'));
    s.j.finish(10 * sec);
    CHECK(s.j.breach_lines().empty());
    CHECK(passed(s.j));
}
TEST_CASE("rule 1: answered twice, never, too late, or sent for after its answer") {
    Scene twice, never, late, after, dropped;
    twice.write(sec, 1, 0, 'a');
    twice.reply(sec + 9, 1);
    CHECK(twice.broken(Rule::answers) == 1);
    never.ask(sec, nbd::cmd_read, 1, 0);
    CHECK(never.broken(Rule::answers) == 1);
    late.ask(sec, nbd::cmd_read, 1, 0);
    late.reply(3 * sec, 1, 5);
    CHECK(late.broken(Rule::answers) == 1);
    after.ask(sec, nbd::cmd_write, 1, 0);
    auto t = after.shot(sec + 1, FrameKind::write, 1, 0);
    after.answer(sec + 2, t, Status::rejected);
    after.reply(sec + 3, 1, 5);
    after.shot(sec + 9 * ms, FrameKind::write, 1, 0);
    CHECK(after.broken(Rule::answers) == 1);
    dropped.ask(sec, nbd::cmd_read, 1, 0);
    dropped.j.connection_closed(sec + 1, dropped.client, true);
    CHECK(dropped.broken(Rule::answers) == 1);
}
TEST_CASE("rule 2: side by side, past the window, elsewhere, a denial that misleads, too many") {
    Scene side, past, elsewhere, misled, many;
    for (auto *s : {&side, &past, &elsewhere, &misled, &many})
        s->ask(sec, nbd::cmd_write, 1, 0);
    side.shot(sec + 1, FrameKind::write, 1, 0);
    side.shot(sec + 2, FrameKind::write, 1, 0);
    CHECK(side.broken(Rule::effects) == 1);
    past.answer(sec + 2, past.shot(sec + 1, FrameKind::write, 1, 0), Status::error);
    past.shot(sec + 501 * ms, FrameKind::write, 1, 0);
    CHECK(past.broken(Rule::effects) == 1);
    elsewhere.answer(sec + 2, elsewhere.shot(sec + 1, FrameKind::write, 1, 0), Status::error);
    elsewhere.shot(sec + 3, FrameKind::write, 1, 0, ConnectionId{3}, 1);
    CHECK(elsewhere.broken(Rule::effects) == 1);
    misled.shot(sec + 1, FrameKind::write, 1, 0);
    misled.reply(sec + 2, 1, nbd::e_nomem);
    CHECK(misled.broken(Rule::effects) == 1);
    for (Time i = 0; i < 4; ++i)
        many.answer(sec + 2 * i + 1, many.shot(sec + 2 * i, FrameKind::write, 1, 0),
                    Status::rejected);
    CHECK(many.broken(Rule::effects) == 1);
}
TEST_CASE("two writes over the same range at once: what is written tells whose a shot is") {
    Scene s;
    s.ask(sec, nbd::cmd_write, 1, 0, 'a');
    s.ask(sec, nbd::cmd_write, 2, 0, 'b');
    s.answer(sec + 2, s.shot(sec + 1, FrameKind::write, 2, 0, ConnectionId{2}, 0, 1000, 'b'));
    s.reply(sec + 3, 2);
    s.reply(sec + 4, 1, nbd::e_nomem); // never sent: the denial is true
    CHECK(s.broken(Rule::effects) == 0);
}
TEST_CASE("rule 3: a shot later than the grace after the edge was told") {
    Scene s, t;
    for (auto *x : {&s, &t})
        x->j.node_state_learned(sec, EdgeId{0}, NodeId{1}, NodeState::draining);
    s.shot(sec + 250 * ms, FrameKind::read, 1, 0);
    t.shot(sec + 251 * ms, FrameKind::read, 1, 0);
    CHECK(s.broken(Rule::drains) == 0);
    CHECK(t.broken(Rule::drains) == 1);
}
TEST_CASE("rule 4: more than a cold node bears") {
    Scene s;
    s.j.set_cold(100, 0.25, 10 * sec, sec, 2);
    s.j.node_started(sec, NodeId{1});
    for (std::uint64_t i = 1; i <= 58; ++i)
        s.shot(sec + 1, FrameKind::read, i, 0);
    CHECK(s.j.breaches(Rule::cold) == 0);
    s.shot(sec + 1, FrameKind::read, 99, 0);
    CHECK(s.broken(Rule::cold) == 1);
}
TEST_CASE("rule 5: over the same bytes while one is out, rests, or came first") {
    Scene out, rests, first;
    for (auto *s : {&out, &rests, &first}) {
        s->ask(sec, nbd::cmd_write, 1, 0);
        s->ask(sec + 2 * ms, nbd::cmd_write, 2, 0);
    }
    out.shot(sec + 3 * ms, FrameKind::write, 1, 0);
    out.shot(sec + 4 * ms, FrameKind::write, 2, 0);
    CHECK(out.broken(Rule::order) >= 1);
    rests.shot(sec + 3 * ms, FrameKind::write, 1, 0);
    rests.j.connection_closed(sec + 4 * ms, rests.node, false);
    rests.reply(sec + 5 * ms, 1, 5);
    rests.shot(sec + 600 * ms, FrameKind::write, 2, 0, ConnectionId{3});
    CHECK(rests.broken(Rule::order) == 1);
    // The first request's shot is its own; the second's is not, for its piece was begun.
    first.answer(sec + 3 * ms, first.shot(sec + 3 * ms, FrameKind::write, 1, 0), Status::rejected);
    first.shot(sec + 4 * ms, FrameKind::write, 2, 0);
    CHECK(first.broken(Rule::order) == 1);
}
TEST_CASE("rule 6: more further shots than the budget") {
    Scene s;
    s.j.set_retry_budget(0, 1, sec);
    s.ask(sec, nbd::cmd_read, 1, 0);
    for (Time i = 0; i < 3; ++i)
        s.answer(sec + 2 * i + 1, s.shot(sec + 2 * i, FrameKind::read, 1, 0), Status::rejected);
    CHECK(s.broken(Rule::further) == 1);
}
TEST_CASE("rule 7: past a volume's limit") {
    Scene s;
    s.j.set_limit(VolumeId{5}, 10, 20, 2);
    for (std::uint64_t i = 1; i <= 22; ++i)
        s.shot(sec, FrameKind::read, i, 0);
    CHECK(s.j.breaches(Rule::limits) == 0);
    s.shot(sec, FrameKind::read, 23, 0);
    CHECK(s.broken(Rule::limits) == 1);
}
TEST_CASE("data: what was replaced, what nobody wrote, a flush over a loss") {
    Scene old, nobody, flushed, well;
    for (auto *s : {&old, &nobody}) {
        s->write(sec, 1, 0, 'a');
        s->write(2 * sec, 2, 0, 'b');
        s->ask(3 * sec, nbd::cmd_read, 3, 0);
    }
    old.reply(3 * sec + 1, 3, 0, std::string(512, 'a'));
    CHECK(old.broken(Rule::data) == 1);
    nobody.reply(3 * sec + 1, 3, 0, std::string(512, 'z'));
    CHECK(nobody.broken(Rule::data) == 1);
    for (auto *s : {&flushed, &well}) {
        s->write(sec, 1, 0, 'a');
        s->j.unflushed_data_lost(2 * sec, NodeId{1});
        s->ask(3 * sec, nbd::cmd_flush, 2, 0);
    }
    flushed.reply(3 * sec + 1, 2);
    CHECK(flushed.broken(Rule::data) == 1);
    well.reply(3 * sec + 1, 2, 5);
    CHECK(well.broken(Rule::data) == 0);
}
TEST_CASE("a recording is read as it was written; any change of it is found") {
    std::string path = "rules_test.recording";
    {
        record::Writer w(path);
        w.put(1, record::Kind::note, 1, 2, 3, "hello");
        w.put(2, record::Kind::end, 0, 0, 0, "");
    }
    std::ifstream in(path, std::ios::binary);
    std::ostringstream all;
    all << in.rdbuf();
    auto text = all.str();
    auto read = [&](const std::string &t) {
        std::ofstream(path, std::ios::binary | std::ios::trunc) << t;
        return record::read(path, [](auto...) {});
    };
    CHECK(read(text) == "");
    for (std::size_t n = 0; n < text.size(); ++n)
        CHECK(read(text.substr(0, n)) != "");
    for (std::size_t n = 0; n < text.size(); ++n) {
        auto t = text;
        t[n] ^= 1;
        CHECK(read(t) != "");
    }
    std::remove(path.c_str());
}
