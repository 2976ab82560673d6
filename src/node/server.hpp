// A stand-in node on sockets: the disk's shell.
#pragma once

#include <memory>
#include <string>

#include "loop/dialled.hpp"
#include "loop/loop.hpp"
#include "loop/sockets.hpp"
#include "node/disk.hpp"
#include "node/planner_registration.hpp"
#include "settings/ini.hpp"

namespace knotvane::node {

// Reads a node's settings for their faults; with a disk, tells it what it is to be.
void read_service(settings::File &file, Disk *disk);
void check(settings::File &file);

class Server final : public Shell {
public:
    // Sets up from settings that were checked. Throws std::runtime_error where the address can't be
    // listened on or the store can't be opened.
    Server(loop::Loop &loop, settings::File &file);
    ~Server() override;
    const std::string &address() const { return address_; }
    NodeId id() const { return id_; }
    ShardId shard() const { return shard_; }
    // From the loop's thread: what the disk is told there, and the moment's end after it.
    Disk &disk() { return *disk_; }
    const Store &store() const { return *store_; }
    void stirred();

    void send(ConnId conn, std::string bytes) override;
    void close(ConnId conn, bool reset) override;
    void listen(bool open) override;
    void say(std::string text) override;

private:
    Time end_of_moment();
    loop::Loop &loop_;
    NodeId id_;
    ShardId shard_;
    std::string address_;
    std::unique_ptr<Medium> medium_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Disk> disk_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::Dialled> planner_;
    std::unique_ptr<PlannerRegistration> registration_; // with a planner
    std::uint64_t next_conn_ = 0;
    loop::Sockets<ConnId> conns_;
};

} // namespace knotvane::node
