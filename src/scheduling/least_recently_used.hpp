/// \file
/// The order in which keys were used last.
#pragma once

#include <cstddef>
#include <list>
#include <map>

namespace knotvane::scheduling {

/// Keys, the least recently used one first.
template <class Key>
class LeastRecentlyUsed {
public:
    /// Adds the key, or moves it to the end.
    void use(const Key &key) {
        auto [position, is_new] = positions_.try_emplace(key);
        if (is_new)
            position->second = keys_.insert(keys_.end(), key);
        else
            keys_.splice(keys_.end(), keys_, position->second);
    }

    std::size_t size() const { return keys_.size(); }

    /// @return the key that was used longest ago. There must be one.
    const Key &oldest() const { return keys_.front(); }

    void remove_oldest() {
        positions_.erase(keys_.front());
        keys_.pop_front();
    }

private:
    std::list<Key> keys_;
    std::map<Key, typename std::list<Key>::iterator> positions_;
};

} // namespace knotvane::scheduling
