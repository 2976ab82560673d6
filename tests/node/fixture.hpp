/// \file
/// A storage node on a store in memory, with two edges' connections, whose answers are written
/// down.
#pragma once

#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "node/storage_node.hpp"

namespace knotvane::node {

using node_protocol::FrameKind;
using node_protocol::Status;

/// An answer, with the first bytes of its payload.
struct Answer {
    std::uint64_t tag = 0;
    Status status = Status::ok;
    std::string payload{};

    bool operator==(const Answer &) const = default;
};
using Answers = std::vector<Answer>;

inline std::ostream &operator<<(std::ostream &out, const Answer &answer) {
    return out << answer.tag << ' ' << static_cast<int>(answer.status) << ' ' << answer.payload;
}

constexpr std::size_t kept_payload = 4;

/// Notes what a node does on its sockets.
struct RecordingTransport final : Transport, node_protocol::FrameHandler {
    Answers answers;
    std::vector<std::string> events;
    std::vector<ConnectionId> closed;
    bool is_listening = true;

    void send(ConnectionId connection, std::string bytes) override {
        readers_[connection].feed(bytes, *this);
    }
    void close(ConnectionId connection, bool /*reset*/) override { closed.push_back(connection); }
    void listen(bool open) override { is_listening = open; }
    void log_event(std::string text) override { events.push_back(std::move(text)); }
    bool on_frame(const node_protocol::Frame &frame) override {
        if (frame.kind == FrameKind::answer)
            answers.push_back(
                {frame.tag, frame.status, std::string(frame.payload.substr(0, kept_payload))});
        return true;
    }

private:
    std::map<ConnectionId, node_protocol::FrameReader> readers_;
};

/// What the tests write and read.
constexpr VolumeId test_volume{5};

/// A deduplicated write of 512 bytes of one letter.
struct TestWrite {
    std::uint64_t tag = 0;
    std::uint64_t request_number = 0; // 0: not deduplicated
    Time not_after = 0;
    char letter = 0;
};

struct NodeFixture {
    std::string bytes;
    std::unique_ptr<Medium> medium = store::memory_medium(bytes);
    Store store{*medium};
    RecordingTransport transport;
    StorageNode node{NodeId{1}, ShardId{0}, store, transport, 7, 0};
    ConnectionId a{1};
    ConnectionId b{2};

    NodeFixture() {
        connect(0, a);
        connect(0, b);
    }

    /// A connection that has greeted.
    void connect(Time now, ConnectionId connection) {
        node.connected(now, connection);
        receive(now, connection,
                {.kind = FrameKind::hello, .volume = VolumeId{1}, .incarnation = 1});
    }

    void receive(Time now, ConnectionId connection, const node_protocol::Frame &frame) {
        node.received(now, connection, node_protocol::encode(frame));
    }

    void write(Time now, ConnectionId connection, const TestWrite &write) {
        std::uint8_t flags = write.request_number > 0 ? node_protocol::flag_deduplicated : 0;
        std::string payload(512, write.letter);
        receive(now, connection,
                {.kind = FrameKind::write,
                 .flags = flags,
                 .tag = write.tag,
                 .volume = test_volume,
                 .length = 512,
                 .milliunits = 1000,
                 .incarnation = 9,
                 .request_number = write.request_number,
                 .not_after = write.not_after,
                 .payload = payload});
    }

    void read(Time now, ConnectionId connection, std::uint64_t tag) {
        receive(now, connection,
                {.kind = FrameKind::read,
                 .tag = tag,
                 .volume = test_volume,
                 .length = 512,
                 .milliunits = 1000});
    }

    /// A request without a payload on connection `a`.
    void request(Time now, FrameKind kind, std::uint64_t tag, ShardId shard = ShardId{0}) {
        receive(now, a,
                {.kind = kind,
                 .tag = tag,
                 .volume = test_volume,
                 .length = 4096,
                 .milliunits = 1000,
                 .shard = shard});
    }

    /// Lets the time pass in steps of a millisecond.
    void run_until(Time until, Time step = ms) {
        for (Time now = 0; now <= until; now += step)
            node.tick(now);
    }
};

} // namespace knotvane::node
