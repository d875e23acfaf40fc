/// How a VM tells the other VMs of its cell of the requests that it takes.
///
/// A datagram to each peer for each event of a request is the fastest way, and affordable while the
/// requests are spread over the VMs. Its cost is requests times peers, so that a VM that takes most
/// requests of its cell would use up its own link and processor on them. Such a VM collects its
/// announcements in batches instead, and sends each batch to a few peers, which forward it to the
/// others.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct AnnouncementSettings {
    /// Datagrams that a VM may spend on announcing each event at once.
    double m_datagramsPerSecond = 2'000;
    /// The budget grows for at most this time. It also bounds how soon a VM stops to batch.
    Millis m_maxSaving{ 1'000 };
    /// Time for which a batch collects events.
    Millis m_batchPeriod{ 25 };
    /// Datagrams that one batch costs its sender.
    size_t m_maxGroups = 6;
};

/// Decides whether a VM announces events one by one or in batches.
class AnnouncementBudget
{
public:
    explicit AnnouncementBudget(const AnnouncementSettings &settings = {})
        : m_settings(settings)
        , m_datagrams(capacity())
    { }

    /// Counts one event that @p peers have to hear of, and returns whether it is batched. That
    /// begins when announcing each event at once exceeds the budget, and ends when it would not
    /// have done so for m_maxSaving: otherwise an event could overtake earlier ones of its request.
    bool countEvent(size_t peers, TimePoint now);
    /// Whether events are batched, as of the last one.
    bool batches() const { return m_batches; }

private:
    double capacity() const;

    AnnouncementSettings m_settings;
    double m_datagrams; ///< That may be spent now.
    TimePoint m_countedAt{};
    bool m_batches = false;
};

/// Divides the peers 0 to @p peers - 1 into at most @p maxGroups groups of nearly equal size, at
/// random. The first one of each group receives a batch and forwards it to the others. Drawn anew
/// for each batch, so that a peer that fails to forward does not keep the same ones from hearing.
std::vector<std::vector<size_t>> drawForwardGroups(size_t peers, size_t maxGroups,
                                                   RandomEngine &random);

/// Position of a batch among those of its sender. Batches are numbered from 1. Each one repeats the
/// events of the batch before it, because a peer may have failed to forward that one.
struct BatchNumber {
    uint64_t m_origin = 0; ///< Identifies the sender's process.
    uint64_t m_number = 0;
};

/// What a receiver applies of a batch.
enum class BatchPart {
    None, ///< It has heard these events, or later ones that would be undone.
    New, ///< It has applied the batch before.
    All, ///< Including the repeated events.
};

/// The batches that a VM has received, by sender.
class ReceivedBatches
{
public:
    /// Records that a batch has arrived, and decides what to apply of it.
    BatchPart receive(const BatchNumber &batch);
    /// Forgets a sender whose process has ended.
    void forget(uint64_t origin) { m_last.erase(origin); }

private:
    std::unordered_map<uint64_t, uint64_t> m_last; ///< Number of the last batch, by origin.
};

} // namespace stackquay
