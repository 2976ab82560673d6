/// \file
/// Test fixture: a storage node on a store in memory, with two connections of edges. Its answers
/// are recorded.
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

/// An answer of the node, with at most the first four bytes of its payload.
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

constexpr std::size_t kept_payload_bytes = 4;

/// Records what a node does with its connections and its log.
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
            answers.push_back({frame.tag, frame.status,
                               std::string(frame.payload.substr(0, kept_payload_bytes))});
        return true;
    }

private:
    std::map<ConnectionId, node_protocol::FrameReader> readers_;
};

/// The volume that the tests write and read.
constexpr VolumeId test_volume{5};

/// A write of 512 bytes that all hold the same letter.
struct TestWrite {
    std::uint64_t tag = 0;
    std::uint64_t request_number = 0; // 0: not deduplicated
    Time not_after = 0;
    char letter = 0;
};

/// A node with two connections that have sent their hello.
struct NodeFixture {
    std::string bytes;
    std::unique_ptr<Medium> medium = store::memory_medium(bytes);
    Store store{*medium};
    RecordingTransport transport;
    StorageNode node{NodeId{1}, ShardId{0}, store, transport, 7, 0};
    ConnectionId first_connection{1};
    ConnectionId second_connection{2};

    NodeFixture() {
        connect(0, first_connection);
        connect(0, second_connection);
    }

    /// Opens a connection and sends the hello frame on it.
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

    /// Sends a request without a payload on `first_connection`.
    void request(Time now, FrameKind kind, std::uint64_t tag, ShardId shard = ShardId{0}) {
        receive(now, first_connection,
                {.kind = kind,
                 .tag = tag,
                 .volume = test_volume,
                 .length = 4096,
                 .milliunits = 1000,
                 .shard = shard});
    }

    /// Calls the node's `tick` from time 0 until `until` (inclusive), every `step`.
    void run_until(Time until, Time step = ms) {
        for (Time now = 0; now <= until; now += step)
            node.tick(now);
    }
};

} // namespace knotvane::node
