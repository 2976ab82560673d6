#include "store/deduplication_marks.hpp"

namespace knotvane::store {

bool DeduplicationMarks::contains(const DeduplicationMark &mark, Time now) {
    while (!by_not_after_.empty() && by_not_after_.begin()->first < now) {
        // A mark that was added again with a later time is kept until that time.
        auto it = not_after_.find(by_not_after_.begin()->second);
        if (it != not_after_.end() && it->second < now)
            not_after_.erase(it);
        by_not_after_.erase(by_not_after_.begin());
    }
    return not_after_.contains(mark);
}

void DeduplicationMarks::add(const DeduplicationMark &mark, Time not_after) {
    not_after_[mark] = not_after;
    by_not_after_.emplace(not_after, mark);
}

void DeduplicationMarks::clear() {
    not_after_.clear();
    by_not_after_.clear();
}

} // namespace knotvane::store
