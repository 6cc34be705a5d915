#include "policy/lost_reports.h"

#include "policy/store_return.h"

namespace ebonymount {

void on_return(LostReports& reports, const std::vector<KnownReport>& known,
               const std::set<std::string>& listed, Random& random, Time now) {
    reports.due.clear();
    for (const KnownReport& report : known) {
        if (listed.count(report.name) > 0) {
            continue;
        }
        const Duration delay =
            report.is_own ? Duration::zero() : REWRITE_TIME + scaled(REWRITE_TIME, uniform(random));
        reports.due[report.name] = now + delay;
    }
}

void on_written(LostReports& reports, const std::string& name) {
    reports.due.erase(name);
}

void on_withdrawn(LostReports& reports, const std::string& name, Time now) {
    reports.due.erase(name);
    reports.withdrawn[name] = now;
}

bool is_lost(const LostReports& reports, const std::string& name) {
    return reports.due.count(name) > 0;
}

bool is_withdrawn(const LostReports& reports, const std::string& name) {
    return reports.withdrawn.count(name) > 0;
}

std::vector<std::string> take_due(LostReports& reports, Time now) {
    std::erase_if(reports.withdrawn,
                  [now](const auto& entry) { return now - entry.second > WITHDRAWAL_MEMORY; });
    std::vector<std::string> due;
    for (const auto& [name, at] : reports.due) {
        if (at <= now) {
            due.push_back(name);
        }
    }
    for (const std::string& name : due) {
        reports.due.erase(name);
    }
    return due;
}

}  // namespace ebonymount
