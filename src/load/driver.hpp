// Drives an edge over sockets: streams of reads and writes, closed or open loop, on one loop.
// Figures are kept as the samples themselves.
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
    Time at;   // when it was to be sent, from the stream's begin
    Time took; // from then until its end
    std::uint32_t units_bytes;
    std::uint16_t command;
    std::uint32_t error; // NBD's; ~0: its connection was lost
};

// What one stream does.
struct Shape {
    std::string address, volume;
    std::uint32_t connections = 1, flying = 1;
    double rate = 0;    // requests a second of all connections, open loop; 0: closed loop
    double reads = 1;   // the part that reads; the rest writes
    double flushes = 0; // the part that flushes, of all
    std::uint32_t least = 4096, most = 4096;   // bytes
    std::uint64_t from = 0, region = 16 << 20; // where it works
    Time begin = 0, length = 5 * sec;
    Time leave_every =
        0; // a connection is dropped with requests out and made again, each time after this
    double again_at_once = 0; // the part of denied requests that is asked again at once, once
    bool structured = true;
    std::uint64_t seed = 1;
};

class Stream {
public:
    // Starts `begin` after now, on the loop's thread.
    Stream(loop::Loop &loop, Shape shape);
    ~Stream();
    bool over() const { return over_; }
    const std::vector<Sample> &samples() const { return samples_; }
    std::uint64_t missed() const { return missed_; }
    const Shape &shape() const { return shape_; }
    // What broke a session, last.
    const std::string &fault() const { return fault_; }

private:
    struct Conn;
    void tick();
    void ask(Conn &c, Time intended, bool again = false);
    void refill(Conn &c);

    loop::Loop &loop_;
    Shape shape_;
    std::ranlux24_base chance_;
    std::vector<std::unique_ptr<Conn>> conns_;
    std::vector<Sample> samples_;
    uv_timer_t *timer_;
    Time began_ = 0, next_ = 0, ends_ = 0, drained_by_ = 0;
    std::uint64_t cookie_ = 0, missed_ = 0, turn_ = 0;
    bool over_ = false, running_ = false;
    std::string fault_;
};

// The value that a part (0 to 1) of the times lies under; 0 without any.
Time quantile(std::vector<Time> times, double part);

} // namespace knotvane::load
