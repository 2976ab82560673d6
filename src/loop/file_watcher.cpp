#include "loop/file_watcher.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::loop {

FileWatcher::FileWatcher(Loop &loop, const std::string &path, std::function<void()> on_change)
    : handle_(new Handle{{}, this}), on_change_(std::move(on_change)) {
    // Watches the directory: a watch on the file itself would be lost when the file is replaced by
    // another one.
    auto slash = path.rfind('/');
    std::string directory =
        slash == std::string::npos ? "." : path.substr(0, std::max<std::size_t>(slash, 1));
    name_ = slash == std::string::npos ? path : path.substr(slash + 1);
    uv_fs_event_init(loop.raw(), &handle_->event);
    handle_->event.data = handle_;
    uv_fs_event_start(
        &handle_->event,
        [](uv_fs_event_t *event, const char *file, int, int) {
            auto *self = static_cast<Handle *>(event->data)->owner;
            if (self && (!file || self->name_ == file))
                self->on_change_();
        },
        directory.c_str(), 0);
}
FileWatcher::~FileWatcher() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&handle_->event),
             [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
}

} // namespace knotvane::loop
