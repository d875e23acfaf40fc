/// Who may begin next, over all VMs, while engines have enough to do.
///
/// Engines share their reading among all prompts that they have, and a stream beyond their slots
/// waits for a slot: what begins too early makes all end late. So requests wait at their VMs. All
/// VMs know who waits, from the same messages as the ledger, and come to about the same order: who
/// has to begin first goes first, and those that can no longer meet their aim after all others.
/// What can no longer be answered in time however it begins is refused at once, so that engines
/// read what is still wanted; a lost message lets one request more begin.
///
/// Under overload somebody is refused, and the order and the time that each may wait decide who.
/// Both go by the same moment, the latest begin, and no size of a route waits for less than
/// another: with the aim as order, all refusals fell on the prompts that take longest to read.
#pragma once

#include <unordered_map>

#include "core/core.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct WaitingTurn {
    TimePoint m_aimAt{}; ///< When the first event is wanted.
    Duration m_needed{}; ///< From the beginning to the first event, at least.
    TimePoint m_expiresAt{}; ///< Not heard of after this, it is forgotten.
    Duration m_lead{}; ///< So much earlier than m_aimAt is its turn.
};

using TurnQueue = std::unordered_map<LoadKey, WaitingTurn, LoadKeyHash>;

/// How many of @p queue go before @p key; nobody, if it does not wait there.
uint32_t aheadOf(const TurnQueue &queue, const LoadKey &key, TimePoint now);

/// Whether @p key is among the first @p room of @p queue. True if it does not wait there.
///
/// All that find room begin at once: if each had to see the one before it leave, a queue would
/// move no faster than VMs look and hear of each other.
bool mayBegin(TurnQueue &queue, const LoadKey &key, uint32_t room, TimePoint now);

/// Whether a first event that comes after @p firstEvent is in time.
bool isInTime(const WaitingTurn &turn, FloatMillis firstEvent, TimePoint now);

/// Whether it would be late even if it began now: to be refused, not run, so that engines read what
/// can still be in time.
bool isTooLate(const WaitingTurn &turn, TimePoint now);

struct TurnSettings {
    /// Long prompts that may read at any load: the next one's parts fill the gap between the last
    /// part's end and the news of it.
    uint32_t m_leastReading = 4;
    /// More may begin while an engine of their side has less than this part of the longest aim to
    /// read, counting parts whole until the first event: less leaves engines idle, and much more
    /// makes late what begins at the end of its wait.
    double m_backlogShare = 0.25;
    /// A prompt that has waited finds a full backlog, and engines share their reading among all
    /// prompts: that and one and a half passes come on top of its own reading.
    FloatMillis m_readOverhead{ 700 };
    size_t m_mostReaders = 17; ///< Engines that read one prompt: the first and its helpers.
    /// Part of the slots of their side that strict streams fill.
    double m_slotShare = 0.95;
    /// A strict stream's first event takes one and a half passes of full engines.
    FloatMillis m_strictNeed{ 130 };
    /// A prompt that waited begins if this many times its prediction is in time: what begins after
    /// it is read beside it.
    double m_predictionMargin = 1.3;
    /// A prompt that would be late may spoil streams up to this part of the slots of one engine:
    /// spoilt streams end late, and crowd out others.
    double m_spoilShare = 0.25;
    /// A long prompt may wait for this part of its aim, whatever its size; what then needs longer
    /// than the rest of it may be late. More makes late what small prompts would have in time.
    double m_waitShare = 0.5;
    /// A prompt's turn comes by this part of its reading earlier than its aim says: with less,
    /// those that read long find their engines busy at the end of their wait; with all of it, they
    /// crowd out the others of their kind, of which engines read five in the time of one.
    double m_readingShare = 0.75;
    /// A prompt that one engine reads alone within so many times its backlog needs no room of its
    /// own, unless engines have as much to read: it delays few, and would wait behind prompts that
    /// read a hundred times as long.
    double m_littleBacklogs = 2;
    /// Clients leave a silent stream; a repeat waits for this part of that time.
    double m_patienceShare = 0.55;
    /// And for this part of the time that the request has.
    double m_timeShare = 0.4;
};

/// What one side of a pool has to do now.
struct SideLoad {
    Duration m_longestAim{}; ///< Of the routes that share the pool.
    uint32_t m_strictStreams = 0; ///< On the engines for them.
    uint32_t m_slots = 0; ///< Of its engines together.
    size_t m_engines = 1;
    ReadingNow m_reading;
};

/// From the beginning to the first event, for a long prompt that had to wait. A lower figure lets
/// those begin first that will just miss their aim.
FloatMillis neededToRead(const TurnSettings &settings, const EngineCosts &costs, double tokens,
                         size_t engines);
/// Whether a long prompt is so short that it needs no room.
bool readsLittle(const TurnSettings &settings, const EngineCosts &costs, const SideLoad &load,
                 double tokens);
/// How many more long prompts may begin to read.
uint32_t roomToRead(const TurnSettings &settings, const SideLoad &load);
/// How many more strict streams find a slot.
uint32_t roomToWrite(const TurnSettings &settings, const SideLoad &load);

} // namespace stackquay
