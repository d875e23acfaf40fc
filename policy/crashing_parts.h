/// Finds the parts of prompts that crash the engines which begin to write an answer on them. Each
/// VM has one table.
///
/// A prompt is a list of parts that requests share. When a process exits under a request that has
/// no answer yet, the parts of its prompt, except its own last one, become suspects. One crash says
/// little: the crashing part stands in the list beside sound ones, and most requests at the
/// process are bystanders. So a part is quarantined only after crashes of different processes,
/// under different requests, at different moments, which no other part explains better: the part
/// at fault is present at each crash, bystanders at some of them. Parts that were present at the
/// same crashes cannot be told apart; then only requests that list all of them are refused.
///
/// An answer that has begun on a part clears it. Crashes are counted by customer, as callers choose
/// the names of the parts: crashes under the requests of one customer quarantine a part for that
/// customer only.
///
/// Only a crash adds an entry, so a caller cannot fill the table without crashing processes.
#pragma once

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"
#include "policy/cells.h"
#include "policy/recent_answers.h"

namespace stackquay {

struct PartSettings {
    /// Crashes under the requests of one customer that quarantine a part for it.
    uint32_t m_customerThreshold = 3;
    /// Crashes that quarantine a part for all customers, with at most m_maxCrashesOfCustomer of
    /// each counted.
    uint32_t m_fleetThreshold = 4;
    uint32_t m_maxCrashesOfCustomer = 2;
    /// Crashes closer to each other than this count once: a rack that loses power ends many
    /// processes together, whatever they run.
    Millis m_minCrashInterval{ 50 };
    /// The same for a part on which an answer was written lately. The processes of a rack may end
    /// one after the other within this time, and common parts are in progress at each of them.
    Millis m_outageDuration{ 1'000 };
    /// From the last crash to the first probe; doubled by each probe.
    Seconds m_probeDelay{ 600 };
    uint32_t m_maxProbes = 3;
    /// For this time a VM may send the probe that is due; then the next VM may.
    Seconds m_probeTurn{ 60 };
    /// Parts that are not quarantined are dropped this long after their last crash.
    Seconds m_suspectRetention{ 600 };
    Seconds m_retention{ 86'400 };
    /// Limit for suspects and for cleared parts. Beyond it, the suspect with the fewest crashes or
    /// the oldest cleared part is evicted.
    size_t m_maxParts = 512;
    /// Crashes kept of one part: the first that are known, and later ones at other moments.
    size_t m_maxCrashes = 16;
};

/// A part of prompts as one customer uses it, by hashes of their names.
struct PartKey {
    uint64_t m_part = 0;
    uint64_t m_customer = 0;

    bool operator==(const PartKey &) const = default;
    auto operator<=>(const PartKey &) const = default;
    MSGPACK_DEFINE(m_part, m_customer)
};

struct PartKeyHash {
    size_t operator()(const PartKey &key) const noexcept { return key.m_part ^ key.m_customer; }
};

/// The parts of one request's prompt that other requests may share: all but the last.
struct PromptParts {
    std::vector<uint64_t> m_parts;
    uint64_t m_customer = 0;

    bool empty() const { return m_parts.empty(); }
};

/// An exit of a process that had not begun to answer a request with the part.
struct PartCrash {
    uint64_t m_process = 0; ///< By processKey().
    uint64_t m_request = 0; ///< Part of the request's fingerprint.
    TimePoint m_at{};
};

struct SuspectPart {
    std::vector<PartCrash> m_crashes;
    uint32_t m_probesMade = 0; ///< Probes since it was quarantined.
    TimePoint m_lastAt{}; ///< Last crash or probe.
    bool m_answeredBefore = false; ///< An answer was written on it not long before the crashes.
};

/// Requests that list all of m_parts are not sent any more, except for probes.
struct PartQuarantine {
    std::vector<uint64_t> m_parts;
    std::optional<uint64_t> m_customer; ///< Only requests of this customer; nothing: of all.
    uint32_t m_probesMade = 0;
    TimePoint m_lastAt{};
};

struct ClearedPart {
    std::vector<uint64_t> m_processes; ///< Of the crashes that the part did not cause.
    TimePoint m_at{};
};

struct PartTable {
    PartSettings m_settings;
    std::unordered_map<PartKey, SuspectPart, PartKeyHash> m_suspects;
    std::unordered_map<PartKey, ClearedPart, PartKeyHash> m_cleared;
    std::vector<PartQuarantine> m_quarantines; ///< Derived from m_suspects.
    /// Processes that exited under a quarantined part. Derived from m_suspects.
    std::unordered_set<uint64_t> m_explained;
    RecentAnswers m_answered; ///< Parts of all customers.

    bool empty() const { return m_suspects.empty(); }
};

struct PartCrashReport {
    uint64_t m_process = 0;
    uint64_t m_request = 0;
    uint64_t m_ageMs = 0;

    MSGPACK_DEFINE(m_process, m_request, m_ageMs)
};

/// State of a suspect as sent to other VMs and as stored.
struct PartReport {
    PartKey m_key;
    std::vector<PartCrashReport> m_crashes;
    uint32_t m_probesMade = 0;
    uint64_t m_ageMs = 0; ///< Since the last crash or probe.
    bool m_answeredBefore = false;

    MSGPACK_DEFINE(m_key, m_crashes, m_probesMade, m_ageMs, m_answeredBefore)
};

enum class PartChange {
    None,
    Known, ///< A new suspect, or a change to a known one.
    Quarantined, ///< More requests are refused than before.
};

struct PartDecision {
    bool m_allowed = true;
    bool m_isProbe = false;
    Duration m_nextTryAfter{}; ///< If not allowed: time until a probe may be sent.
};

/// Hash of a part's name.
uint64_t partHash(std::string_view name);
/// Hash of a customer's name.
uint64_t partCustomerHash(const CustomerId &customer);

/// Records that @p process exited at @p crash.m_at without an answer to a request with @p key.
PartChange recordPartCrash(PartTable &table, const PartKey &key, const PartCrash &crash,
                           TimePoint now);
/// Merges another VM's report. Reports may arrive in any order and repeatedly.
PartChange mergePartReport(PartTable &table, const PartReport &report, TimePoint now);
/// Clears a part on which an answer has begun: it caused none of @p processes and of the crashes in
/// the table. Returns whether the table changed.
bool clearPart(PartTable &table, const PartKey &key, const std::vector<uint64_t> &processes,
               TimePoint now);
/// The suspects, of all customers, that an answer to @p prompt clears once it has begun.
std::vector<PartKey> suspectKeysOf(const PartTable &table, const PromptParts &prompt);
/// Decides whether a request may be sent. @p mayProbe: this VM may send a probe that is due, see
/// mayProbeParts().
PartDecision decidePrompt(const PartTable &table, const PromptParts &prompt, bool mayProbe,
                          TimePoint now);
/// Records that a request was sent although it is quarantined, as a probe. Returns the keys that
/// changed.
std::vector<PartKey> recordPartProbe(PartTable &table, const PromptParts &prompt, TimePoint now);
/// Whether @p self is the VM that may send a probe of @p prompt now. @p peers: the other live VMs
/// of its cell.
bool mayProbeParts(const PartTable &table, const PromptParts &prompt, const VmId &self,
                   const std::vector<VmId> &peers, const CellView &cell, TimePoint now);
/// Reports of the given keys that are suspects.
std::vector<PartReport> partReports(const PartTable &table, const std::vector<PartKey> &keys,
                                    TimePoint now);
/// The keys of all suspects: quarantined ones first, then by number of crashes.
std::vector<PartKey> suspectPartKeys(const PartTable &table);
/// The keys of the quarantined parts.
std::vector<PartKey> quarantinedPartKeys(const PartTable &table);
/// Drops the suspects that are older than their retention.
void dropExpiredParts(PartTable &table, TimePoint now);

} // namespace stackquay
