/// The rules that a run of the soak is held to: a table of checks over what was observed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "tests/soak/observations.h"
#include "tests/soak/schedule.h"

namespace stackquay::soak {

struct Violation {
    std::string m_rule;
    std::string m_request; ///< Its id, or empty.
    std::string m_text;
};

/// What all checks read: the observations, and the runs of each request.
struct Evidence {
    explicit Evidence(const Observations &seen, const Bounds &bounds = {});

    const Observations &m_seen;
    Bounds m_bounds;
    std::map<std::string, const SentRequest *> m_requests;
    std::map<std::string, std::vector<const SeenRun *>> m_runs;

    const std::vector<const SeenRun *> &runsOf(const std::string &requestId) const;
    /// Whether one of these disruptions of a part reaches into a span of time.
    bool disrupted(Place place, size_t subject, Millis from, Millis until,
                   bool plannedToo = true) const;
    /// Whether bounds of time hold for a VM all the while: neither it nor the store was disrupted
    /// then or shortly before.
    bool inTouch(size_t vm, Millis from, Millis until) const;
};

using CheckFunction = void (*)(const Evidence &evidence, std::vector<Violation> &found);

struct Check {
    const char *m_rule;
    const char *m_meaning;
    CheckFunction m_function;
};

const std::vector<Check> &checks();
std::vector<Violation> judge(const Observations &seen, const Bounds &bounds = {});
std::string toString(const Violation &violation);

} // namespace stackquay::soak
