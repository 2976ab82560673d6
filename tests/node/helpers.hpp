// What the node's tests share: a disk on a store in memory, and answers written down.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "node/disk.hpp"

namespace knotvane::node {

struct Told final : Shell, node_protocol::Sink {
    std::map<ConnId, std::string> sent;
    std::vector<std::string> answers, said; // "tag status payload"
    std::vector<ConnId> closed;
    std::map<ConnId, node_protocol::Reader> readers;
    bool open = true;
    void send(ConnId c, std::string b) override {
        sent[c] += b;
        readers[c].feed(b, *this);
    }
    void close(ConnId c, bool) override { closed.push_back(c); }
    void listen(bool o) override { open = o; }
    void say(std::string t) override { said.push_back(std::move(t)); }
    bool frame(node_protocol::Kind kind, std::uint8_t, node_protocol::Status status,
               std::uint64_t tag, VolumeId, std::uint64_t, std::uint32_t, std::uint32_t,
               std::uint64_t, std::uint64_t, Time, ShardId, std::string_view payload,
               std::uint32_t) override {
        if (kind == node_protocol::Kind::answer)
            answers.push_back(std::to_string(tag) + " " + std::to_string(static_cast<int>(status)) +
                              " " + std::string(payload.substr(0, 4)));
        return true;
    }
};

struct Rig {
    std::string bytes;
    std::unique_ptr<Medium> medium = store::memory_medium(bytes);
    Store store{*medium};
    Told told;
    Disk disk{NodeId{1}, ShardId{0}, store, told, 7, 0};
    ConnId a{1}, b{2};
    Rig() {
        for (auto c : {a, b}) {
            disk.came(0, c);
            disk.bytes(0, c,
                       node_protocol::make(node_protocol::Kind::hello, 0, {}, 0, VolumeId{1}, 0, 0,
                                           0, 1, 0, 0, ShardId{0}, {}));
        }
    }
    void write(Time now, ConnId c, std::uint64_t tag, std::uint64_t number, Time not_after,
               char fill, std::uint64_t offset = 0, std::uint32_t length = 512,
               std::uint8_t flags = 0) {
        disk.bytes(now, c,
                   node_protocol::make(node_protocol::Kind::write,
                                       static_cast<std::uint8_t>(
                                           flags | (number > 0 ? node_protocol::flag_numbered : 0)),
                                       {}, tag, VolumeId{5}, offset, length, 1000, 9, number,
                                       not_after, ShardId{0}, std::string(length, fill)));
    }
    void read(Time now, ConnId c, std::uint64_t tag, std::uint64_t offset = 0,
              std::uint32_t length = 512) {
        disk.bytes(now, c,
                   node_protocol::make(node_protocol::Kind::read, 0, {}, tag, VolumeId{5}, offset,
                                       length, 1000, 0, 0, 0, ShardId{0}, {}));
    }
    void ask(Time now, node_protocol::Kind kind, std::uint64_t tag, ShardId shard = ShardId{0}) {
        disk.bytes(
            now, a,
            node_protocol::make(kind, 0, {}, tag, VolumeId{5}, 0, 4096, 1000, 0, 0, 0, shard, {}));
    }
};

} // namespace knotvane::node
