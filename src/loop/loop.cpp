#include "loop/loop.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <limits>
#include <utility>

#include <concurrentqueue/concurrentqueue.h>

namespace knotvane::loop {

Time now() {
    using namespace std::chrono;
    static const Time epoch_offset =
        duration_cast<nanoseconds>(system_clock::now().time_since_epoch()).count() -
        static_cast<Time>(uv_hrtime());
    return static_cast<Time>(uv_hrtime()) + epoch_offset;
}

struct Loop::PostedCalls {
    moodycamel::ConcurrentQueue<std::function<void()>> queue;
};

Loop::Loop() : posted_calls_(std::make_unique<PostedCalls>()) {
    // Writing to a connection that the peer has reset raises SIGPIPE, which would end the program.
    // The write reports the error as well. Seen with responses too long for a single write.
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop_);
    loop_.data = this;
    uv_async_init(&loop_, &wake_up_, [](uv_async_t *async) {
        auto &self = *static_cast<Loop *>(async->loop->data);
        std::function<void()> call;
        while (self.posted_calls_->queue.try_dequeue(call))
            call();
    });
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    uv_prepare_start(&prepare_, [](uv_prepare_t *prepare) {
        auto &self = *static_cast<Loop *>(prepare->loop->data);
        ++self.iteration_;
        if (!self.before_wait_)
            return;
        Time due = self.before_wait_();
        if (due == std::numeric_limits<Time>::max()) {
            uv_timer_stop(&self.timer_);
            return;
        }
        uv_update_time(&self.loop_);
        auto wait = std::max<Time>(0, due - now());
        uv_timer_start(
            &self.timer_, [](uv_timer_t *) {}, static_cast<std::uint64_t>((wait + ms - 1) / ms), 0);
    });
}
Loop::~Loop() {
    uv_walk(
        &loop_,
        [](uv_handle_t *handle, void *) {
            if (!uv_is_closing(handle))
                uv_close(handle, nullptr);
        },
        nullptr);
    while (uv_run(&loop_, UV_RUN_NOWAIT) != 0) {
    }
    uv_loop_close(&loop_);
}
void Loop::run() {
    uv_run(&loop_, UV_RUN_DEFAULT);
}
void Loop::post(std::function<void()> call) {
    posted_calls_->queue.enqueue(std::move(call));
    uv_async_send(&wake_up_);
}
void Loop::stop() {
    post([this] { uv_stop(&loop_); });
}

} // namespace knotvane::loop
