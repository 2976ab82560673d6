/// \file
/// A thin layer over libuv's event loop: one loop per thread, and calls posted from other threads.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <uv.h>

#include "common/time.hpp"

namespace knotvane::loop {

/// Returns the time in nanoseconds since the epoch. It never decreases: the wall clock is read
/// once, at the first call, and advanced by the monotonic clock from then on.
Time now();

/// An event loop. All its methods but stop and post belong to the thread that runs it.
class Loop {
public:
    /// Ignores SIGPIPE in the whole process; write errors are reported by the sockets.
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;
    uv_loop_t *raw() { return &loop_; }
    /// Runs the loop on the calling thread until stop.
    void run();
    /// Makes run return. May be called from any thread.
    void stop();
    /// Queues a call for the loop's thread. May be called from any thread.
    void post(std::function<void()> call);
    /// Sets the function that is called before each wait for events. It returns the time at which
    /// it must be called again at the latest; the largest Time for none.
    void set_before_wait_callback(std::function<Time()> call) { before_wait_ = std::move(call); }
    /// The number of iterations so far. Events that are handled without a wait in between see the
    /// same one.
    std::uint64_t iteration() const { return iteration_; }

private:
    struct PostedCalls;
    uv_loop_t loop_;
    uv_async_t wake_up_;
    uv_prepare_t prepare_;
    uv_timer_t timer_;
    std::function<Time()> before_wait_;
    std::uint64_t iteration_ = 0;
    std::unique_ptr<PostedCalls> posted_calls_;
};

} // namespace knotvane::loop
