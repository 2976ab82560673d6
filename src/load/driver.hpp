// NBD load generator: streams of reads, writes and flushes sent to an edge over sockets, closed or
// open loop, all on one event loop. Every request is kept as a sample; nothing is aggregated.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "loop/loop.hpp"

namespace knotvane::load {

struct Sample {
    Time at;   // intended send time, relative to the stream's start
    Time took; // from the intended send time to the reply
    std::uint32_t units_bytes;
    std::uint16_t command;
    std::uint32_t error; // NBD error, 0: success, ~0: the connection was lost
};

// The load of one stream: where it connects, and the mix, size and rate of its requests.
struct Shape {
    std::string address, volume;
    std::uint32_t connections = 1, flying = 1;
    double rate = 0;    // requests per second over all connections (open loop); 0: closed loop
    double reads = 1;   // fraction of non-flush requests that read; the rest write
    double flushes = 0; // fraction of all requests that flush
    std::uint32_t least = 4096, most = 4096;   // request length in bytes
    std::uint64_t from = 0, region = 16 << 20; // first byte and length of the range used
    Time begin = 0, length = 5 * sec;
    Time leave_every =
        0; // age at which a connection is closed, with requests in flight, and reopened; 0: never
    double again_at_once = 0; // fraction of denied requests that is retried at once, one time only
    bool structured = true;
    std::uint64_t seed = 1;
};

class Stream {
public:
    // Must be called on the loop's thread. Starts sending after `shape.begin`.
    Stream(loop::Loop &loop, Shape shape);
    ~Stream();
    // All requests have been answered, or the time to wait for replies is over.
    bool over() const { return finished_; }
    const std::vector<Sample> &samples() const { return samples_; }
    // Open loop: requests that were due while no connection could take another one.
    std::uint64_t missed() const { return missed_; }
    const Shape &shape() const { return shape_; }
    // The latest protocol error that broke a session; empty if there was none.
    const std::string &fault() const { return fault_; }

private:
    struct Connection;
    void tick();
    void send_request(Connection &c, Time intended, bool is_retry = false);
    void fill_window(Connection &c);

    loop::Loop &loop_;
    Shape shape_;
    std::ranlux24_base random_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<Sample> samples_;
    uv_timer_t *timer_;
    Time started_at_ = 0, next_due_ = 0, ends_at_ = 0, drained_by_ = 0;
    std::uint64_t cookie_ = 0, missed_ = 0, next_connection_ = 0;
    bool finished_ = false, running_ = false;
    std::string fault_;
};

// The quantile of `times` at `fraction` (0 to 1); 0 if there are none.
Time quantile(std::vector<Time> times, double fraction);

} // namespace knotvane::load
