#include "scheduler_setup/setup.hpp"

#include <algorithm>
#include <string>

namespace knotvane::scheduler_setup {
namespace {

Idempotency repeat_of(const std::string &s, const std::string &path) {
    if (s == "idempotent" || s.empty())
        return Idempotency::idempotent;
    if (s == "deduplicated")
        return Idempotency::deduplicated;
    if (s == "at_most_once")
        return Idempotency::at_most_once;
    throw Malformed("setting " + path + ": unknown effect: " + s.substr(0, 80));
}

DeduplicationScope group_of(const std::string &s, const std::string &path) {
    if (s == "all" || s.empty())
        return DeduplicationScope::all;
    if (s == "zone")
        return DeduplicationScope::zone;
    if (s == "cell")
        return DeduplicationScope::shard;
    throw Malformed("setting " + path + ": unknown group: " + s.substr(0, 80));
}

Column column_of(const std::string &s) {
    if (s == "active")
        return Column::active;
    if (s == "waiting")
        return Column::waiting;
    if (s == "cpu")
        return Column::busy;
    if (s == "avg_ms")
        return Column::latency;
    if (s == "rps")
        return Column::served;
    return s == "err_rps" ? Column::errors : Column::other;
}

} // namespace

void set_up(Scheduler &to, const Options &o) {
    to.set_place(PeerId{o.count("Index")}, std::max(1u, o.count("Balancers", 1)),
                 ZoneId{o.count("Locality")});
    to.set_clock(o.time("StepS"), o.time("Rules.GraceToAnswerS"));
    for (std::uint32_t i = 0; i < o.count("Classes.count"); ++i) {
        std::string at = "Classes." + std::to_string(i) + ".";
        WorkloadId id{i};
        // Without a target of its own a class is in time until its deadline.
        to.add_workload(id, o.time(at + (o.has(at + "TargetS") ? "TargetS" : "DeadlineS")),
                        o.time(at + "DeadlineS"), o.number(at + "Points"),
                        o.number(at + "LateWorth"));
        to.set_repeat(id, repeat_of(o.text(at + "Effect"), at + "Effect"),
                      group_of(o.text(at + "Group"), at + "Group"), o.time(at + "RepeatWindowS"));
        if (o.flag(at + "InTurn"))
            to.set_turns(id, o.time("Rules.KeyRestS"));
    }
    for (std::uint32_t i = 0; i < o.count("Contracts.count"); ++i) {
        std::string at = "Contracts." + std::to_string(i) + ".";
        PlanId id{i};
        to.add_plan(id, o.number(at + "Shares", 1), o.number(at + "UsualRate"),
                    o.number(at + "Guaranteed"), o.number(at + "Price", 1));
        if (o.number(at + "CeilingRate") > 0)
            to.set_limit(id, o.number(at + "CeilingRate"), o.number(at + "Burst"));
    }
    to.set_units(o.number("Extra.UnitMean"), o.number("Extra.UnitsTop"),
                 o.number("Extra.ShareWorth"), o.number("Extra.SpareWorth"));
    to.set_shots(o.count("Permissions.MaxAttempts", 1), o.flag("Permissions.ParallelTries"),
                 o.flag("Permissions.Cancel"));
    if (o.has("Rules.ResendSpanS"))
        to.set_further_shots(o.number("Rules.ResendRatio"), o.number("Rules.BudgetFree"),
                             o.time("Rules.ResendSpanS"));
    to.set_denials(o.flag("Permissions.RetryAfter") ? o.time("Permissions.MaxRetryAfterS") : 0);
    to.set_clients(o.flag("Clients.MarksRetry"));
    to.set_list(o.text("RegistryMode") == "on_request", o.time("Rules.AskWithinS"),
                o.time("Rules.DrainGraceS"));
    to.set_cold(o.number("Extra.ColdUnits"), o.time("Rules.FallS"), o.time("Rules.WarmAfterS"),
                o.number("Rules.StartCapacity"));
    to.set_probes(o.flag("Permissions.Probes"));
    to.set_peers(o.flag("Permissions.Peers"));
    for (const auto &name : o.list("Report.Columns"))
        to.add_report_column(column_of(name));
    to.set_usage(o.time("Extra.MeteringS"), o.flag("Extra.TellsElsewhere"));
}

} // namespace knotvane::scheduler_setup
