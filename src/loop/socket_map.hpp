// A shell's sockets by the id that its core knows them by. What is sent goes out at flush, at the
// end of a moment; what is closed is forgotten first, so that nothing is called back for it.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "loop/loop.hpp"

namespace knotvane::loop {

template <class IdOf>
class SocketMap {
public:
    ~SocketMap() {
        for (auto &[id, s] : sockets_)
            s->close(true);
    }
    void add(IdOf id, std::shared_ptr<Socket> socket) { sockets_[id] = std::move(socket); }
    // Nothing for an id that is not there.
    std::shared_ptr<Socket> find(IdOf id) const {
        auto it = sockets_.find(id);
        return it == sockets_.end() ? nullptr : it->second;
    }
    // Forgets it and gives what it was.
    std::shared_ptr<Socket> remove(IdOf id) {
        auto s = find(id);
        sockets_.erase(id);
        return s;
    }
    void send(IdOf id, std::string bytes) {
        if (auto s = find(id))
            s->send(std::move(bytes)), out_.insert(id);
    }
    bool has_unflushed() const { return !out_.empty(); }
    void flush() {
        for (auto id : std::exchange(out_, {}))
            if (auto s = find(id))
                s->flush();
    }

private:
    std::map<IdOf, std::shared_ptr<Socket>> sockets_;
    std::set<IdOf> out_; // with something to send
};

} // namespace knotvane::loop
