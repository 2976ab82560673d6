/// \file
/// Watches a file for changes.
#pragma once

#include <functional>
#include <string>

#include <uv.h>

#include "loop/loop.hpp"

namespace knotvane::loop {

/// Calls on_change when a file is written, replaced or removed. It may be called more often than
/// that.
class FileWatcher {
public:
    FileWatcher(Loop &loop, const std::string &path, std::function<void()> on_change);
    ~FileWatcher();
    FileWatcher(const FileWatcher &) = delete;
    FileWatcher &operator=(const FileWatcher &) = delete;

private:
    struct Handle {
        uv_fs_event_t event;
        FileWatcher *owner;
    };
    Handle *handle_;
    std::string name_;
    std::function<void()> on_change_;
};

} // namespace knotvane::loop
