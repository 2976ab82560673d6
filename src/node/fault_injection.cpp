#include "node/fault_injection.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace knotvane::node {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

} // namespace

static_assert(fault_kind_names.size() == static_cast<std::size_t>(FaultKind::corrupt_block) + 1);

std::optional<FaultKind> fault_kind_from_name(std::string_view name) {
    const auto *it = std::find(fault_kind_names.begin(), fault_kind_names.end(), name);
    if (it == fault_kind_names.end())
        return std::nullopt;
    return static_cast<FaultKind>(std::distance(fault_kind_names.begin(), it));
}

void FaultInjector::inject(const FaultInjection &fault) {
    faults_.push_back({fault, fault.count, false});
}

bool FaultInjector::is_active(FaultKind kind, Time now) const {
    return std::any_of(faults_.begin(), faults_.end(),
                       [&](const Injected &injected) { return injected.is_active(kind, now); });
}

std::optional<double> FaultInjector::apply(FaultKind kind, Time now) {
    auto it = std::find_if(faults_.begin(), faults_.end(),
                           [&](const Injected &injected) { return injected.is_active(kind, now); });
    if (it == faults_.end())
        return std::nullopt;
    if (it->fault.count > 0)
        --it->left;
    return it->fault.magnitude;
}

void FaultInjector::remove_ended(Time now) {
    std::erase_if(faults_, [&](const Injected &injected) {
        return now >= injected.fault.until || injected.is_used_up();
    });
}

bool FaultInjector::begin_refusal(Time now) {
    bool begins = false;
    for (Injected &injected : faults_) {
        if (injected.fault.kind != FaultKind::refuse_connections || injected.begun ||
            now < injected.fault.from)
            continue;
        injected.begun = true;
        begins = true;
    }
    return begins;
}

Time FaultInjector::next_due(bool has_queued) const {
    Time due = never;
    for (const Injected &injected : faults_) {
        if (injected.fault.kind == FaultKind::hang && has_queued)
            due = std::min(due, injected.fault.until);
        if (injected.fault.kind == FaultKind::refuse_connections && !injected.begun)
            due = std::min(due, injected.fault.from);
    }
    return due;
}

} // namespace knotvane::node
