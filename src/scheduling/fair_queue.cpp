#include "scheduling/fair_queue.hpp"

#include <algorithm>
#include <limits>

namespace knotvane::scheduling {
namespace {

// Units charged for each written unit; value from the BFQ paper.
constexpr double write_charge = 10;

} // namespace

void FairQueue::enqueue(VolumeId id, double weight, const QueueRank &request) {
    auto [it, is_new] = volumes_.try_emplace(id);
    Volume &volume = it->second;
    if (is_new)
        volume.budget = std::max(largest_request_, max_budget() / 2);
    if (volume.requests.empty() || volume.weight != weight)
        waiting_weight_ = 0;
    volume.weight = weight;
    if (volume.requests.empty() && in_service_ != id)
        set_tags(volume);
    volume.requests.insert(request);
    waiting_volumes_.insert(id);
}

void FairQueue::remove(VolumeId id, const QueueRank &request) {
    erase_request(id, volumes_[id], request);
}

void FairQueue::erase_request(VolumeId id, Volume &volume, const QueueRank &request) {
    volume.requests.erase(request);
    if (!volume.requests.empty())
        return;
    waiting_weight_ = 0;
    waiting_volumes_.erase(id);
}

bool FairQueue::forget(VolumeId id) {
    auto it = volumes_.find(id);
    if (it == volumes_.end())
        return true;
    const Volume &volume = it->second;
    if (!volume.requests.empty() || volume.attempts_in_flight > 0 || in_service_ == id)
        return false;
    volumes_.erase(it);
    return true;
}

std::optional<VolumeId> FairQueue::select(Time now) {
    if (in_service_ && volumes_[*in_service_].requests.empty())
        end_service(now, ServiceEnd::emptied);
    if (in_service_ && now - service_began_ >= service_slice)
        end_service(now, ServiceEnd::timed_out);
    if (!in_service_)
        begin_service(now);
    return in_service_;
}

double FairQueue::charge_of(double units, bool writes) {
    return writes ? write_charge * units : units;
}

bool FairQueue::fits_budget(double charge) const {
    return charged_ == 0 || charged_ + charge <= volumes_.at(*in_service_).budget;
}

void FairQueue::request_sent(const QueueRank &request, double units, double charge) {
    if (waiting_weight_ == 0) {
        for (VolumeId id : waiting_volumes_)
            waiting_weight_ += volumes_.at(id).weight;
    }
    virtual_time_ += charge / waiting_weight_;
    Volume &volume = volumes_[*in_service_];
    erase_request(*in_service_, volume, request);
    ++volume.attempts_in_flight;
    charged_ += charge;
    units_sent_ += units;
}

void FairQueue::begin_service(Time now) {
    constexpr double none = std::numeric_limits<double>::infinity();
    double least_start_tag = none;
    for (VolumeId id : waiting_volumes_)
        least_start_tag = std::min(least_start_tag, volumes_.at(id).start_tag);
    if (least_start_tag == none)
        return;

    // Virtual time is at least the least start tag of the waiting volumes, so that one of them is
    // eligible.
    virtual_time_ = std::max(virtual_time_, least_start_tag);
    const Volume *selected = nullptr;
    for (VolumeId id : waiting_volumes_) {
        const Volume &volume = volumes_.at(id);
        bool eligible = volume.start_tag <= virtual_time_;
        if (eligible && (!selected || volume.finish_tag < selected->finish_tag)) {
            selected = &volume;
            in_service_ = id;
        }
    }
    service_began_ = now;
    charged_ = 0;
    units_sent_ = 0;
}

void FairQueue::end_service(Time now, ServiceEnd end) {
    Volume &volume = volumes_[*in_service_];
    rate_estimator_.add_service(units_sent_, now - service_began_, end == ServiceEnd::exhausted);
    double maximum = max_budget();

    // A service that timed out is charged at least its whole budget, any other what it used.
    double charged = end == ServiceEnd::timed_out ? std::max(charged_, volume.budget) : charged_;
    volume.finish_tag = volume.start_tag + charged / volume.weight;

    double next = next_budget(end, volume.attempts_in_flight > 0, volume.budget, maximum);
    volume.budget = std::clamp(next, largest_request_, maximum);
    if (!volume.requests.empty())
        set_tags(volume);
    in_service_.reset();
}

void FairQueue::set_tags(Volume &volume) const {
    volume.start_tag = std::max(virtual_time_, volume.finish_tag);
    volume.finish_tag = volume.start_tag + volume.budget / volume.weight;
}

} // namespace knotvane::scheduling
