/// Tracks requests that may crash the engines that run them. Each VM has one table.
///
/// A request may crash every engine that runs it. A process that exits with requests in progress
/// counts as crashed, and all these requests become suspects; the one at fault is present at each
/// crash. Suspects are placed on different engines, so that the next crash tells them apart, and
/// the number of concurrent attempts of a suspect is limited, so that it causes at most
/// m_quarantineThreshold crashes. A suspect that completes is cleared.
///
/// One that was present at m_quarantineThreshold crashes is isolated: one probe of it is in flight
/// at a time. Processes of one rack, zone or service that fail together end under the same popular
/// request, so crashes whose attempts overlap are one event. If all crashes are one event, probes
/// are sent at once. After crashes at several events the request is quarantined: it is not sent any
/// more, except for a few probes much later, which lift the quarantine once the engine is repaired
/// or if the request was suspected wrongly. Only a probe under which the process crashes prolongs
/// it. Log events, metrics and stored records call this state "condemned", crashes "ends" and
/// probes "trials".
///
/// Only a crash adds an entry, so a caller cannot fill the table without crashing processes.
///
/// The crashes of a cleared request are remembered. Reports of them may still arrive; without the
/// record, each would make the request a suspect again and be passed on to other VMs, which would
/// clear it again, without end.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"
#include "policy/cells.h"
#include "policy/recent_answers.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct SuspectSettings {
    /// Crashes at which a suspect is isolated. A request may cause at most three.
    uint32_t m_quarantineThreshold = 3;
    /// Separate events at which an isolated suspect is quarantined.
    uint32_t m_minEvents = 2;
    /// An attempt that begins sooner after a crash belongs to the same event: the process may have
    /// ended already.
    Millis m_minCrashInterval{ 50 };
    /// The same for a request that was answered lately. Processes of a rack that loses power may
    /// end one after the other within this time, and a popular request is sent to each of them.
    Millis m_outageDuration{ 1'000 };
    /// From the last crash of a quarantined suspect to the first probe; doubled by each probe that
    /// crashed. Engines are repaired by an operator or a release, which takes minutes.
    Seconds m_probeDelay{ 600 };
    /// Probes that may crash before the next one is sent only after m_retention.
    uint32_t m_maxProbes = 3;
    /// For this time a VM may send the probe of a quarantined suspect; then the next VM may. Also
    /// the time between two probes whose outcome is unknown.
    Seconds m_probeTurn{ 60 };
    /// The same for a suspect whose crashes are one event.
    Millis m_earlyProbeTurn{ 250 };
    /// Of each cell, one VM in this many may send an early probe.
    size_t m_vmsPerEarlyProbe = 16;
    /// Their number doubles after this time, as rare requests may not arrive at them.
    Seconds m_earlyProbeSpread{ 10 };
    /// Suspects without a crash or probe for this long are dropped.
    Seconds m_retention{ 86'400 };
    /// Limit for suspects and for cleared requests, each of about 200 bytes. Beyond it, the suspect
    /// with the fewest crashes or the oldest cleared request is evicted.
    size_t m_maxSuspects = 1'024;
    /// Remembered crashes of one cleared request; the latest are kept.
    size_t m_maxClearedCrashes = 16;
};

/// A crash of a process while a request was in progress on it.
struct SuspectCrash {
    uint64_t m_process = 0; ///< By processKey().
    TimePoint m_begun{}; ///< When the request was sent to the process.
    TimePoint m_at{}; ///< When its response broke off.
    /// False: this VM reached no other endpoint either, so the path may have failed.
    bool m_confirmed = true;
};

struct Suspect {
    std::vector<SuspectCrash> m_crashes;
    uint32_t m_failedProbes = 0; ///< Probes since it was quarantined under which a process crashed.
    bool m_answeredBefore = false; ///< It was answered not long before the crashes.
    TimePoint m_lastAt{}; ///< Last crash.
    TimePoint m_probedAt{}; ///< Last probe; zero: none.
};

/// Crashes that a request did not cause, as it completed after them.
struct ClearedCrashes {
    std::vector<uint64_t> m_crashes; ///< Crashed processes, by processKey().
    TimePoint m_at{}; ///< When the latest one was added.
};

/// An attempt of a suspect that is in flight anywhere in the fleet.
struct SuspectAttempt {
    Fingerprint m_fingerprint;
    TimePoint m_until{}; ///< Treated as ended from this time on.
    bool m_isProbe = false; ///< Begun while the suspect was isolated.
};

struct SuspectTable {
    SuspectSettings m_settings;
    std::unordered_map<Fingerprint, Suspect, FingerprintHash> m_suspects;
    std::unordered_map<LoadKey, SuspectAttempt, LoadKeyHash> m_attempts;
    std::unordered_map<uint64_t, uint32_t> m_suspectsPerOutline; ///< By Fingerprint::m_outline.
    std::unordered_map<Fingerprint, ClearedCrashes, FingerprintHash> m_cleared;
    std::unordered_set<uint64_t> m_excused; ///< Processes whose crashes have another known cause.
    RecentAnswers m_answered; ///< By Fingerprint::m_low.

    /// Whether there are no suspects.
    bool empty() const { return m_suspects.empty(); }
    /// Whether a request with this outline may be a suspect. Only then is the fingerprint of its
    /// body needed.
    bool mayContain(uint64_t outline) const { return m_suspectsPerOutline.count(outline) > 0; }
};

/// Ages of the moments of a SuspectCrash.
struct SuspectCrashAges {
    uint64_t m_begunMs = 0;
    uint64_t m_endedMs = 0;

    bool operator==(const SuspectCrashAges &) const = default;
    MSGPACK_DEFINE(m_begunMs, m_endedMs)
};

/// State of a suspect as sent to other VMs, and as stored for a quarantined one.
struct SuspectReport {
    Fingerprint m_fingerprint;
    std::vector<uint64_t> m_crashes; ///< Crashed processes, by processKey().
    uint32_t m_failedProbes = 0;
    uint64_t m_ageMs = 0; ///< Since the last crash.
    /// One for each of m_crashes. VMs of an earlier version send none: then the crashes count as
    /// one event.
    std::vector<SuspectCrashAges> m_ages{};
    bool m_answeredBefore = false;

    MSGPACK_DEFINE(m_fingerprint, m_crashes, m_failedProbes, m_ageMs, m_ages, m_answeredBefore)
};

/// How an attempt of a request may be placed.
enum class SuspectHandling {
    None, ///< Not a suspect: anywhere.
    Separate, ///< On an engine without another suspect.
    LowLoad, ///< As Separate, and on an engine with little load.
    Busy, ///< Not now: too many attempts of it are in flight, or another VM may probe.
    Quarantined, ///< Not at all, except for probes.
};

struct SuspectDecision {
    SuspectHandling m_handling = SuspectHandling::None;
    Duration
        m_nextTryAfter{}; ///< Busy and Quarantined only: time until the next attempt is allowed.

    bool isAllowed() const
    {
        return m_handling != SuspectHandling::Busy && m_handling != SuspectHandling::Quarantined;
    }
};

/// How a crash or a peer's report changed the table.
enum class SuspectChange {
    None,
    Known, ///< A new suspect, or a change to a known one.
    Quarantined, ///< It is not sent any more, or a probe of it crashed.
};

/// Identifies one process of an endpoint; @p startedMs: its start, Unix time in ms.
uint64_t processKey(const EndpointId &endpoint, uint64_t startedMs);

/// Records that a process crashed while the request was in progress on it. Reports of the same
/// crash count once; crashes before the request was cleared do not count.
SuspectChange recordCrash(SuspectTable &table, const Fingerprint &fingerprint,
                          const SuspectCrash &crash, TimePoint now);
/// Merges a peer's report. Reports may arrive in any order and repeatedly.
SuspectChange mergeSuspectReport(SuspectTable &table, const SuspectReport &report, TimePoint now);
/// Removes a suspect without remembering its crashes. False if it was not a suspect.
bool removeSuspect(SuspectTable &table, const Fingerprint &fingerprint);
/// Clears a request that completed after the crashes @p ends and the ones in the table: it caused
/// none of them. Returns whether the table changed.
bool markCleared(SuspectTable &table, const Fingerprint &fingerprint,
                 const std::vector<uint64_t> &ends, TimePoint now);
/// Drops the crashes of @p processes, which something else caused, and ignores reports of them.
/// Replaces the processes of an earlier call.
void excuseCrashes(SuspectTable &table, const std::unordered_set<uint64_t> &processes);
/// Decides whether an attempt of the request may be made, and where. Its own attempt @p own, if it
/// is in flight already, does not count against it. @p mayProbe: this VM may send a probe that is
/// due, see mayProbeSuspect().
SuspectDecision decideAttempt(const SuspectTable &table, const Fingerprint &fingerprint,
                              const LoadKey &own, bool mayProbe, TimePoint now);
/// Whether @p self is a VM that may send a probe of the request now. @p peers: the other live VMs
/// of its cell.
bool mayProbeSuspect(const SuspectTable &table, const Fingerprint &fingerprint, const VmId &self,
                     const std::vector<VmId> &peers, const CellView &cell, TimePoint now);
/// Placement of an attempt, regardless of the number in flight: None, Separate or LowLoad.
SuspectHandling suspectHandling(const SuspectTable &table, const Fingerprint &fingerprint);
/// Records an attempt of a suspect as in flight until endSuspectAttempt(), or until @p until at the
/// latest. An attempt of an isolated one is a probe. Ignored if the request is not a suspect.
void beginSuspectAttempt(SuspectTable &table, const Fingerprint &fingerprint, const LoadKey &key,
                         TimePoint until, TimePoint now);
void endSuspectAttempt(SuspectTable &table, const LoadKey &key);
/// The report of one suspect; without crashes if it is not a suspect or none is confirmed.
SuspectReport suspectReport(const SuspectTable &table, const Fingerprint &fingerprint,
                            TimePoint now);
/// Reports of at most @p most suspects, ordered by number of crashes (most first), then by age.
std::vector<SuspectReport> suspectReports(const SuspectTable &table, size_t most, TimePoint now);
/// Whether the request is quarantined.
bool isQuarantined(const SuspectTable &table, const Fingerprint &fingerprint);
/// Drops suspects that are older than SuspectSettings::m_retention.
void dropExpiredSuspects(SuspectTable &table, TimePoint now);

} // namespace stackquay
