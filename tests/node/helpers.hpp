// What the node's tests share: a disk on a store in memory, and answers written down.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "node/storage_node.hpp"

namespace knotvane::node {

struct Told final : Transport, node_protocol::FrameHandler {
    std::map<ConnectionId, std::string> sent;
    std::vector<std::string> answers, said; // "tag status payload"
    std::vector<ConnectionId> closed;
    std::map<ConnectionId, node_protocol::FrameReader> readers;
    bool open = true;
    void send(ConnectionId c, std::string b) override {
        sent[c] += b;
        readers[c].feed(b, *this);
    }
    void close(ConnectionId c, bool) override { closed.push_back(c); }
    void listen(bool o) override { open = o; }
    void log_event(std::string t) override { said.push_back(std::move(t)); }
    bool on_frame(const node_protocol::Frame &frame) override {
        if (frame.kind == node_protocol::FrameKind::answer)
            answers.push_back(std::to_string(frame.tag) + " " +
                              std::to_string(static_cast<int>(frame.status)) + " " +
                              std::string(frame.payload.substr(0, 4)));
        return true;
    }
};

struct Rig {
    std::string bytes;
    std::unique_ptr<Medium> medium = store::memory_medium(bytes);
    Store store{*medium};
    Told told;
    StorageNode node{NodeId{1}, ShardId{0}, store, told, 7, 0};
    ConnectionId a{1}, b{2};
    Rig() {
        for (auto c : {a, b}) {
            node.connected(0, c);
            node.received(0, c,
                          node_protocol::encode({.kind = node_protocol::FrameKind::hello,
                                                 .volume = VolumeId{1},
                                                 .incarnation = 1}));
        }
    }
    void write(Time now, ConnectionId c, std::uint64_t tag, std::uint64_t number, Time not_after,
               char fill, std::uint64_t offset = 0, std::uint32_t length = 512,
               std::uint8_t flags = 0) {
        node.received(
            now, c,
            node_protocol::encode({.kind = node_protocol::FrameKind::write,
                                   .flags = static_cast<std::uint8_t>(
                                       flags | (number > 0 ? node_protocol::flag_deduplicated : 0)),
                                   .tag = tag,
                                   .volume = VolumeId{5},
                                   .offset = offset,
                                   .length = length,
                                   .milliunits = 1000,
                                   .incarnation = 9,
                                   .request_number = number,
                                   .not_after = not_after,
                                   .payload = std::string(length, fill)}));
    }
    void read(Time now, ConnectionId c, std::uint64_t tag, std::uint64_t offset = 0,
              std::uint32_t length = 512) {
        node.received(now, c,
                      node_protocol::encode({.kind = node_protocol::FrameKind::read,
                                             .tag = tag,
                                             .volume = VolumeId{5},
                                             .offset = offset,
                                             .length = length,
                                             .milliunits = 1000}));
    }
    void ask(Time now, node_protocol::FrameKind kind, std::uint64_t tag,
             ShardId shard = ShardId{0}) {
        node.received(now, a,
                      node_protocol::encode({.kind = kind,
                                             .tag = tag,
                                             .volume = VolumeId{5},
                                             .length = 4096,
                                             .milliunits = 1000,
                                             .shard = shard}));
    }
};

} // namespace knotvane::node
