// Reports that the platform's store has lost by its return from an older copy.
//
// Nodes learn of crashes from each other's reports in the store. A node that has such reports in
// memory goes on refusing the request, but one that starts later knows nothing of it. So lost
// reports are written again: at once by the node that wrote them, and later, at random times, by
// any other node that still has them, as their writer may be gone. The reverse holds for reports
// that were withdrawn: an older copy may still have them, and they no longer count.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace ebonymount {

struct LostReports {
    /// Names of reports that are missing from the store, with the time at which this node writes
    /// them again.
    std::map<std::string, Time> due;
    /// Names of reports that were withdrawn within `WITHDRAWAL_MEMORY`, and when.
    std::map<std::string, Time> withdrawn;
};

/// A report that a node knows, and whether it wrote it itself.
struct KnownReport {
    std::string name;
    bool is_own = false;
};

/// The store has returned from an older copy and lists these reports. Those that are missing become
/// due: own ones at once, others after `REWRITE_TIME` and up to as much again.
void on_return(LostReports& reports, const std::vector<KnownReport>& known,
               const std::set<std::string>& listed, Random& random, Time now);

/// The store has the report.
void on_written(LostReports& reports, const std::string& name);

/// The report was withdrawn, by this or another node.
void on_withdrawn(LostReports& reports, const std::string& name, Time now);

/// True if the report is missing from the store and not written again yet.
bool is_lost(const LostReports& reports, const std::string& name);

bool is_withdrawn(const LostReports& reports, const std::string& name);

/// Removes and returns the reports that are due, and forgets old withdrawals.
std::vector<std::string> take_due(LostReports& reports, Time now);

}  // namespace ebonymount
