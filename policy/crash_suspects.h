/// Requests under which the processes of endpoints ended, as one VM knows them.
///
/// A request may end each endpoint that begins to run it. When a process ends, all requests that
/// were in progress there are suspects; the culprit is the one that is there each time. Suspects
/// are placed apart from each other, so that the next end tells them apart, and so few of them are
/// tried at once that the ends stay within the bound. Whoever completes is cleared. One that is at
/// as many ends as the bound is condemned: nothing sends it any more, but for a few trials, long
/// after, so that a repaired engine or a wrong blame heals.
///
/// An entry is made only by an end, so a caller cannot fill the table without ending processes.
///
/// The ends of a request that completed are remembered: news of them still travel, and would make
/// it a suspect again, be passed on as new, and be followed by its clearing, without an end.
#pragma once

#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct SuspectSettings {
    /// The users allow a request three ends before it must be known.
    uint32_t m_condemnAt = 3;
    /// From the last end to the first trial; doubled by each trial. An engine is repaired by people
    /// or a release, in minutes.
    Seconds m_trialAfter{ 600 };
    /// The users allow three sends after the third end.
    uint32_t m_mostTrials = 3;
    /// A suspect that did not come again for so long is forgotten.
    Seconds m_forgetAfter{ 86'400 };
    /// Some 200 bytes each, of suspects and of cleared ones. When there are more, those with the
    /// fewest ends go first, and the oldest of the cleared ones.
    size_t m_most = 1'024;
    /// Of one request; the latest are kept.
    size_t m_mostClearedEnds = 16;
};

struct Suspect {
    std::vector<uint64_t> m_ends; ///< Names of the processes; no more than condemn it.
    uint32_t m_trials = 0; ///< Tries since it was condemned.
    TimePoint m_lastAt{}; ///< Last end or trial.
};

/// Ends that say nothing of a request any more: it completed after them.
struct ClearedEnds {
    std::vector<uint64_t> m_ends;
    TimePoint m_at{};
};

/// An attempt of a suspect that is in flight somewhere in the fleet.
struct SuspectTry {
    Fingerprint m_print;
    TimePoint m_until{};
    bool m_trial = false; ///< Begun when it was condemned.
};

struct SuspectTable {
    SuspectSettings m_settings;
    std::unordered_map<Fingerprint, Suspect, FingerprintHash> m_suspects;
    std::unordered_map<LoadKey, SuspectTry, LoadKeyHash> m_tries;
    std::unordered_map<uint64_t, uint32_t> m_outlines; ///< How many suspects have each.
    std::unordered_map<Fingerprint, ClearedEnds, FingerprintHash> m_cleared;

    bool empty() const { return m_suspects.empty(); }
    /// Whether a request of this outline may be a suspect: only then its body has to be read.
    bool mayKnow(uint64_t outline) const { return m_outlines.count(outline) > 0; }
};

/// What VMs tell each other of a suspect, and keep of one that is condemned.
struct SuspectNews {
    Fingerprint m_print;
    std::vector<uint64_t> m_ends;
    uint32_t m_trials = 0;
    uint64_t m_ageMs = 0; ///< Since the last end or trial.

    MSGPACK_DEFINE(m_print, m_ends, m_trials, m_ageMs)
};

/// How a request may be tried.
enum class SuspectCare {
    None, ///< No suspect.
    Apart, ///< Beside no other suspect.
    Alone, ///< As Apart, and where little else runs.
    Busy, ///< Not now: other tries of it are in flight.
    Condemned, ///< Not at all.
};

struct SuspectVerdict {
    SuspectCare m_care = SuspectCare::None;
    Duration m_comeBack{}; ///< Busy and condemned: when it may be tried.

    bool mayTry() const { return m_care != SuspectCare::Busy && m_care != SuspectCare::Condemned; }
};

/// What an end or a peer's news changed.
enum class SuspectChange { None, Known, Condemned };

/// Names one process of an endpoint.
uint64_t processName(const EndpointId &endpoint, uint64_t startedMs);

SuspectChange noteEnd(SuspectTable &table, const Fingerprint &print, uint64_t process,
                      TimePoint now);
SuspectChange joinNews(SuspectTable &table, const SuspectNews &news, TimePoint now);
/// Drops it from the table. False if it was no suspect.
bool clearSuspect(SuspectTable &table, const Fingerprint &print);
/// It completed after @p ends and those known here: it does not end whatever runs it. False if that
/// changes nothing.
bool noteCleared(SuspectTable &table, const Fingerprint &print, const std::vector<uint64_t> &ends,
                 TimePoint now);
/// Of a try of @p print, which is not yet in flight or is @p own.
SuspectVerdict judge(const SuspectTable &table, const Fingerprint &print, const LoadKey &own,
                     TimePoint now);
/// Where a try of @p print may go, however many are in flight.
SuspectCare placementOf(const SuspectTable &table, const Fingerprint &print);
/// A try of a suspect is in flight until endTry(), @p until at most. Ignored if it is no suspect.
void beginTry(SuspectTable &table, const Fingerprint &print, const LoadKey &key, TimePoint until,
              TimePoint now);
void endTry(SuspectTable &table, const LoadKey &key);
/// At most @p most, those with the most ends and then the latest first.
std::vector<SuspectNews> newsOf(const SuspectTable &table, size_t most, TimePoint now);
bool isCondemned(const SuspectTable &table, const SuspectNews &news);
/// Drops what has not come again for long.
void forgetOldSuspects(SuspectTable &table, TimePoint now);

} // namespace stackquay
