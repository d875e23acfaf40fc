#include "tests/soak/judge.h"

#include <algorithm>
#include <charconv>
#include <set>

#include <fmt/format.h>

#include "tests/soak/traffic.h"

namespace stackquay::soak {

namespace {

using Found = std::vector<Violation>;

constexpr std::string_view TenantPrefix = "one-v";

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Statuses that promise that a request has not run and never will.
bool isPromise(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/// Statuses that the soak's workers never answer: a daemon gave an attempt up.
bool isGatewayError(unsigned status)
{
    return status == 502 || status == 504;
}

bool isDenial(unsigned status)
{
    return status == 401 || status == 403 || status == 404;
}

bool isStream(Traffic traffic)
{
    return traffic >= Traffic::Stream;
}

std::string describe(const SentRequest &request)
{
    return fmt::format("{} to VM {}, begun {} ms, ended {} ms, status {}{}", request.m_path,
                       request.m_vm, request.m_begun.count(), request.m_ended.count(),
                       request.m_status, request.m_whole ? "" : ", no complete answer");
}

std::string describe(const SeenRun &run)
{
    return fmt::format("ran at {} ({}) from {} to {} ms", run.m_worker, run.m_service,
                       run.m_from.count(), run.m_until ? run.m_until->count() : -1);
}

std::string describe(const std::vector<const SeenRun *> &runs)
{
    std::string text;
    for (const SeenRun *run : runs)
        text += "; " + describe(*run);
    return text;
}

void add(Found &found, const SentRequest &request, const std::string &what,
         const Evidence &evidence)
{
    found.push_back({ "", request.m_id,
                      what + ": " + describe(request) + describe(evidence.runsOf(request.m_id)) });
}

/// The SIGTERM in whose grace a request ended, if there is one.
std::optional<Millis> stopAround(const Evidence &evidence, const SentRequest &request)
{
    for (const SeenExit &exit : evidence.m_seen.m_exits) {
        if (exit.m_vm == request.m_vm && exit.m_terminated && *exit.m_terminated <= request.m_ended
            && request.m_ended <= *exit.m_terminated + evidence.m_bounds.m_grace + Seconds(1))
            return exit.m_terminated;
    }
    return std::nullopt;
}

/// Whether a worker that ran it broke off, or was hard to reach at the time.
bool workerBrokeOff(const Evidence &evidence, const SentRequest &request)
{
    const auto &runs = evidence.runsOf(request.m_id);
    return std::any_of(runs.begin(), runs.end(), [&](const SeenRun *run) {
        return !run->m_until
               || evidence.disrupted(Place::Worker, run->m_slot, run->m_from, request.m_ended,
                                     false);
    });
}

struct Span {
    Millis m_from;
    Millis m_until;
};

/// When the workers that ran a request stood still during its runs.
std::vector<Span> pausesOf(const Evidence &evidence, const SentRequest &request)
{
    std::vector<Span> pauses;
    for (const SeenRun *run : evidence.runsOf(request.m_id)) {
        const Millis until = std::min(run->m_until.value_or(request.m_ended), request.m_ended);
        for (const Disruption &one : evidence.m_seen.m_disruptions) {
            const Span span{ std::max(one.m_from, run->m_from), std::min(one.m_until, until) };
            if (one.m_place == Place::WorkerPause && one.m_subject == run->m_slot
                && span.m_from < span.m_until)
                pauses.push_back(span);
        }
    }
    return pauses;
}

/// Whether a pause alone put the answer beyond the grace of a daemon that was told to stop: it
/// would have been whole in time, and the daemon waited for it until it had to abort it.
bool pausedBeyondGrace(const Evidence &evidence, const SentRequest &request)
{
    constexpr Millis GraceReserve{ 1'000 }; ///< A daemon may need this to exit.
    const auto stop = stopAround(evidence, request);
    const std::vector<Span> pauses = pausesOf(evidence, request);
    if (!stop || pauses.empty()
        || request.m_ended < *stop + evidence.m_bounds.m_grace - GraceReserve)
        return false;
    const PathWork work = workOf(request.m_path);
    const auto &runs = evidence.runsOf(request.m_id);
    const auto first =
        std::min_element(runs.begin(), runs.end(),
                         [](const SeenRun *a, const SeenRun *b) { return a->m_from < b->m_from; });
    Millis whole = (*first)->m_from + work.m_delay + work.m_gap * work.m_events;
    const bool inTime = whole <= request.m_ended;
    for (const Span &pause : pauses)
        whole += pause.m_until - pause.m_from;
    return inTime && whole + evidence.m_bounds.m_lossSlack >= request.m_ended;
}

/// Whether a daemon answered an error of its own to what a paused worker had taken.
bool gaveUpAtPause(const Evidence &evidence, const SentRequest &request)
{
    return request.m_whole && isGatewayError(request.m_status)
           && !pausesOf(evidence, request).empty();
}

std::string describePauses(const Evidence &evidence, const SentRequest &request)
{
    std::string text;
    for (const Span &pause : pausesOf(evidence, request))
        text += fmt::format(", its worker paused from {} to {} ms", pause.m_from.count(),
                            pause.m_until.count());
    return text;
}

void checkLost(const Evidence &evidence, Found &found)
{
    const Bounds &bounds = evidence.m_bounds;
    for (const SentRequest &request : evidence.m_seen.m_requests) {
        const bool gaveUp = gaveUpAtPause(evidence, request);
        if (!request.m_sent || (request.m_whole && !gaveUp) || request.m_gaveUp)
            continue;
        const bool reached = !evidence.runsOf(request.m_id).empty();
        const bool crossed = !reached && request.m_status == 0
                             && request.m_ended <= *request.m_sent + bounds.m_lossSlack;
        const bool excused =
            request.m_ended >= request.m_begun + request.m_deadline
            || evidence.disrupted(Place::Vm, request.m_vm, request.m_begun - bounds.m_contact,
                                  request.m_ended, false)
            || workerBrokeOff(evidence, request) || pausedBeyondGrace(evidence, request);
        if (crossed || excused)
            continue;
        const auto stop = stopAround(evidence, request);
        const std::string when =
            stop ? fmt::format("sent {} ms and cut {} ms after SIGTERM",
                               (*request.m_sent - *stop).count(), (request.m_ended - *stop).count())
                 : "beside no SIGTERM";
        const std::string what = gaveUp ? "read, and given up with an error, "
                                        : "read, and ended without a complete answer, ";
        add(found, request, what + when + describePauses(evidence, request), evidence);
    }
}

void checkTwice(const Evidence &evidence, Found &found)
{
    for (const SentRequest &request : evidence.m_seen.m_requests) {
        if (!isRepeatable(request.m_traffic) && evidence.runsOf(request.m_id).size() > 1)
            add(found, request, "ran more than once", evidence);
    }
}

void checkRefused(const Evidence &evidence, Found &found)
{
    for (const SentRequest &request : evidence.m_seen.m_requests) {
        if (!isRepeatable(request.m_traffic) && isPromise(request.m_status)
            && !evidence.runsOf(request.m_id).empty())
            add(found, request, "refused as not run, and ran", evidence);
    }
}

std::string wholeAnswer(const SentRequest &request)
{
    return isStream(request.m_traffic) ? streamText(request.m_events)
                                       : "answer of " + request.m_worker + " to " + request.m_body;
}

void checkMixed(const Evidence &evidence, Found &found)
{
    for (const SentRequest &request : evidence.m_seen.m_requests) {
        if (request.m_status == 0)
            continue;
        if (!request.m_answeredId.empty() && request.m_answeredId != request.m_id)
            add(found, request, "an answer of " + request.m_answeredId, evidence);
        if (!isSuccess(request.m_status))
            continue;
        const std::string expected = wholeAnswer(request);
        if (request.m_seal.empty())
            add(found, request, "a success without a signature", evidence);
        else if (evidence.runsOf(request.m_id).empty())
            add(found, request, "a success that no endpoint ran", evidence);
        else if (request.m_whole && request.m_answer != expected)
            add(found, request, "an answer that looks whole and is not", evidence);
        else if (!request.m_whole && !expected.starts_with(request.m_answer))
            add(found, request, "a part that is not the answer's", evidence);
    }
}

void checkUnasked(const Evidence &evidence, Found &found)
{
    for (const SeenRun &run : evidence.m_seen.m_runs) {
        const auto request = evidence.m_requests.find(run.m_requestId);
        std::string what;
        if (request == evidence.m_requests.end())
            what = "no client sent it";
        else if (run.m_path != request->second->m_path || run.m_body != request->second->m_body)
            what = "path or body changed";
        else if (run.m_sawKey)
            what = "the key was passed on";
        else if (!versionOf(run.m_tenant))
            what = "tenant '" + run.m_tenant + "'";
        if (!what.empty())
            found.push_back({ "", run.m_requestId, what + "; " + describe(run) });
    }
}

void checkRevoked(const Evidence &evidence, Found &found)
{
    const auto &versions = evidence.m_seen.m_versions;
    for (size_t i = 1; i < versions.size(); ++i) {
        if (versions[i].m_key == versions[i - 1].m_key)
            continue;
        const Millis bound = versions[i].m_at + evidence.m_bounds.m_revoke;
        for (const SentRequest &request : evidence.m_seen.m_requests) {
            if (request.m_key == versions[i - 1].m_key && request.m_begun > bound
                && !evidence.runsOf(request.m_id).empty())
                add(found, request,
                    fmt::format("its key was taken away at {} ms", versions[i].m_at.count()),
                    evidence);
        }
    }
}

void checkDenied(const Evidence &evidence, Found &found)
{
    std::set<std::string> replaced;
    for (const SeenVersion &version : evidence.m_seen.m_versions)
        replaced.insert(version.m_key);
    for (const SentRequest &request : evidence.m_seen.m_requests) {
        if (isDenial(request.m_status) && replaced.count(request.m_key) == 0)
            add(found, request, "denied, and every configuration allows it", evidence);
    }
}

/// A key that was added and is in force long enough is known.
void checkKeyApplied(const Evidence &evidence, Found &found)
{
    const auto &versions = evidence.m_seen.m_versions;
    for (const SentRequest &request : evidence.m_seen.m_requests) {
        if (!isDenial(request.m_status))
            continue;
        const Millis since = request.m_begun - evidence.m_bounds.m_apply;
        const auto first = std::find_if(versions.begin(), versions.end(), [&](const auto &version) {
            return version.m_key == request.m_key;
        });
        const bool newest = !versions.empty() && versions.back().m_key == request.m_key;
        if (first != versions.end() && first->m_at < since && newest
            && evidence.inTouch(request.m_vm, first->m_at, request.m_ended))
            add(found, request,
                fmt::format("denied, its key is known since {} ms", first->m_at.count()), evidence);
    }
}

void checkDrain(const Evidence &evidence, Found &found)
{
    std::map<std::string, const SeenWorker *> workers;
    for (const SeenWorker &worker : evidence.m_seen.m_workers)
        workers[worker.m_id] = &worker;
    for (const SeenRun &run : evidence.m_seen.m_runs) {
        const auto worker = workers.find(run.m_worker);
        const auto request = evidence.m_requests.find(run.m_requestId);
        if (worker == workers.end() || request == evidence.m_requests.end())
            continue;
        const auto leaving = worker->second->m_leaving;
        if (!leaving || run.m_from <= *leaving + evidence.m_bounds.m_drain
            || !evidence.inTouch(request->second->m_vm, *leaving, run.m_from)
            || evidence.disrupted(Place::Worker, run.m_slot,
                                  run.m_from - evidence.m_bounds.m_contact, run.m_from, false))
            continue;
        found.push_back(
            { "", run.m_requestId,
              fmt::format("sent to a worker {} ms after it left; {}; VM {}",
                          (run.m_from - *leaving).count(), describe(run), request->second->m_vm) });
    }
}

std::string serviceUnder(const SeenVersion &version, const SentRequest &request)
{
    if (request.m_traffic == Traffic::Moving)
        return version.m_movingService;
    if (request.m_path.starts_with(fmt::format("/{}/", SoleRoute)))
        return "sole";
    return isStream(request.m_traffic) ? "model" : "plain";
}

/// Not before the configuration that the tenant shows, and not by one that came after the run.
void checkRoute(const Evidence &evidence, Found &found)
{
    for (const SeenRun &run : evidence.m_seen.m_runs) {
        const auto request = evidence.m_requests.find(run.m_requestId);
        const auto from = versionOf(run.m_tenant);
        if (request == evidence.m_requests.end() || !from)
            continue;
        bool allowed = false;
        for (const SeenVersion &version : evidence.m_seen.m_versions) {
            if (version.m_version >= *from && version.m_at <= run.m_from
                && serviceUnder(version, *request->second) == run.m_service)
                allowed = true;
        }
        if (!allowed)
            add(found, *request->second, "run by a service that no configuration allows", evidence);
    }
}

void checkApplied(const Evidence &evidence, Found &found)
{
    for (const SeenRun &run : evidence.m_seen.m_runs) {
        const auto request = evidence.m_requests.find(run.m_requestId);
        const auto used = versionOf(run.m_tenant);
        if (request == evidence.m_requests.end() || !used)
            continue;
        const SentRequest &sent = *request->second;
        for (const SeenVersion &version : evidence.m_seen.m_versions) {
            if (version.m_version <= *used
                || version.m_at + evidence.m_bounds.m_apply >= sent.m_begun
                || !evidence.inTouch(sent.m_vm, version.m_at, run.m_from))
                continue;
            add(found, sent,
                fmt::format("served under version {}, {} is in force since {} ms", *used,
                            version.m_version, version.m_at.count()),
                evidence);
            break;
        }
    }
}

/// The last start of a VM before a moment.
Millis incarnationAt(const Observations &seen, size_t vm, Millis at)
{
    Millis latest{ 0 };
    for (const SeenStart &start : seen.m_starts) {
        if (start.m_vm == vm && start.m_at <= at)
            latest = std::max(latest, start.m_at);
    }
    return latest;
}

struct Effect {
    Millis m_at;
    uint64_t m_version;
};

void checkReverted(const Evidence &evidence, Found &found)
{
    constexpr int SlowedFactor = 8;
    std::map<std::pair<size_t, Millis>, std::vector<Effect>> effects;
    const auto incarnation = [&](const SentRequest &sent) {
        return std::pair(sent.m_vm, incarnationAt(evidence.m_seen, sent.m_vm, sent.m_begun));
    };
    for (const SeenRun &run : evidence.m_seen.m_runs) {
        const auto request = evidence.m_requests.find(run.m_requestId);
        const auto version = versionOf(run.m_tenant);
        if (request != evidence.m_requests.end() && version)
            effects[incarnation(*request->second)].push_back({ run.m_from, *version });
    }
    for (const SeenRun &run : evidence.m_seen.m_runs) {
        const auto request = evidence.m_requests.find(run.m_requestId);
        const auto version = versionOf(run.m_tenant);
        if (request == evidence.m_requests.end() || !version)
            continue;
        const SentRequest &sent = *request->second;
        const bool calm = evidence.inTouch(sent.m_vm, sent.m_begun, run.m_from);
        const Millis bound = evidence.m_bounds.m_revert * (calm ? 1 : SlowedFactor);
        for (const Effect &effect : effects[incarnation(sent)]) {
            if (effect.m_version <= *version || effect.m_at + bound >= sent.m_begun)
                continue;
            add(found, sent,
                fmt::format("served under version {}, VM {} went by {} at {} ms", *version,
                            sent.m_vm, effect.m_version, effect.m_at.count()),
                evidence);
            break;
        }
    }
}

void checkMemory(const Evidence &evidence, Found &found)
{
    const Millis bound = evidence.m_seen.m_memoryUnusedFrom + evidence.m_bounds.m_freeMemory;
    std::set<std::string> named;
    for (const SeenMemory &memory : evidence.m_seen.m_memory) {
        if (memory.m_at > bound && memory.m_tokens > 0 && named.insert(memory.m_worker).second)
            found.push_back({ "", "",
                              fmt::format("{} tokens set aside at {} at {} ms, unused since {}",
                                          memory.m_tokens, memory.m_worker, memory.m_at.count(),
                                          evidence.m_seen.m_memoryUnusedFrom.count()) });
    }
}

void checkExits(const Evidence &evidence, Found &found)
{
    for (const SeenExit &exit : evidence.m_seen.m_exits) {
        if (exit.m_killed)
            continue;
        std::string what;
        if (exit.m_overdue)
            what = "still running at the end of the grace";
        else if (!exit.m_terminated)
            what = "ended by itself";
        else if (exit.m_status != 0 || exit.m_signal != 0)
            what = "did not end well";
        const Millis since = exit.m_terminated.value_or(exit.m_at);
        if (what.empty()
            || (exit.m_overdue
                && evidence.disrupted(Place::Vm, exit.m_vm, since, exit.m_at, false)))
            continue;
        found.push_back({ "", "",
                          fmt::format("VM {} {} at {} ms: status {}, signal {}", exit.m_vm, what,
                                      exit.m_at.count(), exit.m_status, exit.m_signal) });
    }
}

/// Whether the key is one that the last configuration does not have.
bool isReplaced(const Observations &seen, const std::string &key)
{
    return std::any_of(seen.m_versions.begin(), seen.m_versions.end(),
                       [&](const SeenVersion &version) {
                           return version.m_key == key && seen.m_versions.back().m_key != key;
                       });
}

void checkRecovered(const Evidence &evidence, Found &found)
{
    constexpr size_t ServedShareParts = 10; // At least nine of ten.
    size_t sent = 0;
    size_t served = 0;
    std::string others;
    for (const SentRequest &request : evidence.m_seen.m_requests) {
        if (request.m_begun < evidence.m_seen.m_calmFrom + evidence.m_bounds.m_recovery
            || isReplaced(evidence.m_seen, request.m_key))
            continue;
        ++sent;
        if (isSuccess(request.m_status) && request.m_whole)
            ++served;
        else
            others += "; " + request.m_id + " with " + request.m_key + " " + describe(request);
    }
    if (sent == 0 || served * ServedShareParts < sent * (ServedShareParts - 1))
        found.push_back(
            { "", "",
              fmt::format("{} of {} requests served after the recovery", served, sent) + others });
}

} // namespace

std::string tenantOf(uint64_t version)
{
    return fmt::format("{}{}", TenantPrefix, version);
}

std::optional<uint64_t> versionOf(const std::string &tenant)
{
    if (!tenant.starts_with(TenantPrefix))
        return std::nullopt;
    uint64_t version = 0;
    const char *end = tenant.data() + tenant.size();
    const auto parsed = std::from_chars(tenant.data() + TenantPrefix.size(), end, version);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(version) : std::nullopt;
}

std::string streamText(uint32_t events)
{
    std::string text;
    for (uint32_t id = 1; id <= events; ++id)
        text += fmt::format("id: {}\ndata: tokens {}\n\n", id, id);
    return text;
}

Evidence::Evidence(const Observations &seen, const Bounds &bounds)
    : m_seen(seen)
    , m_bounds(bounds)
{
    for (const SentRequest &request : seen.m_requests)
        m_requests[request.m_id] = &request;
    for (const SeenRun &run : seen.m_runs)
        m_runs[run.m_requestId].push_back(&run);
}

const std::vector<const SeenRun *> &Evidence::runsOf(const std::string &requestId) const
{
    static const std::vector<const SeenRun *> none;
    const auto found = m_runs.find(requestId);
    return found == m_runs.end() ? none : found->second;
}

bool Evidence::disrupted(Place place, size_t subject, Millis from, Millis until,
                         bool plannedToo) const
{
    return std::any_of(
        m_seen.m_disruptions.begin(), m_seen.m_disruptions.end(), [&](const Disruption &one) {
            return one.m_place == place && one.m_subject == subject
                   && (plannedToo || !one.m_planned) && one.m_from <= until && one.m_until >= from;
        });
}

bool Evidence::inTouch(size_t vm, Millis from, Millis until) const
{
    const Millis since = from - m_bounds.m_contact;
    return !disrupted(Place::Vm, vm, since, until) && !disrupted(Place::StoreLink, vm, since, until)
           && !disrupted(Place::Store, 0, since, until);
}

const std::vector<Check> &checks()
{
    static const std::vector<Check> table = {
        { "LOST", "a request that was read gets a complete answer", checkLost },
        { "TWICE", "a request that may not be repeated runs once at most", checkTwice },
        { "REFUSED", "429, 503, 408 and 421 only for what has not run", checkRefused },
        { "MIXED", "answers are those of the request, whole where they look whole", checkMixed },
        { "UNASKED", "endpoints run what clients sent, unchanged", checkUnasked },
        { "REVOKED", "no service under a key that was taken away", checkRevoked },
        { "DENIED", "what all configurations allow is not denied", checkDenied },
        { "KEY", "a key that was added is known in time", checkKeyApplied },
        { "DRAIN", "nothing reaches a worker that left", checkDrain },
        { "ROUTE", "requests run where a configuration allows it", checkRoute },
        { "CONFIG", "a new configuration is in force in time", checkApplied },
        { "REVERT", "no VM goes back to an older configuration", checkReverted },
        { "LEAK", "memory at workers is given back", checkMemory },
        { "EXIT", "daemons end only when told to, in their grace", checkExits },
        { "RECOVER", "service is regained after the last fault", checkRecovered },
    };
    return table;
}

std::vector<Violation> judge(const Observations &seen, const Bounds &bounds)
{
    const Evidence evidence(seen, bounds);
    std::vector<Violation> all;
    for (const Check &check : checks()) {
        std::vector<Violation> found;
        check.m_function(evidence, found);
        for (Violation &violation : found) {
            violation.m_rule = check.m_rule;
            all.push_back(std::move(violation));
        }
    }
    return all;
}

std::string toString(const Violation &violation)
{
    const std::string request =
        violation.m_request.empty() ? "" : " request " + violation.m_request;
    return violation.m_rule + request + ": " + violation.m_text;
}

} // namespace stackquay::soak
