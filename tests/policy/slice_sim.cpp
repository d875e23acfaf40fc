#include "slice_sim.h"

namespace stackquay {

namespace {

const CustomerId TheCustomer{ "customer" };

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

SliceSim::SliceSim(SliceVariant variant, const SliceFaults &faults, uint64_t seed)
    : m_variant(variant)
    , m_faults(faults)
    , m_random(seed)
    , m_slots(NodeCount)
    , m_demand(NodeCount)
{
    m_settings.m_ttl = Seconds(5);
    m_settings.m_requestInterval = Seconds(1);
    m_settings.m_fallbackCap = Seconds(13);
    m_leaseSettings.m_duration = Seconds(10);
    m_leaseSettings.m_renewInterval = Seconds(3);
    m_limits = makeSliceLimits(m_limit, Reserved, NodeCount);
    for (size_t slot = 0; slot < NodeCount; ++slot) {
        m_demand[slot] = { uniform(0, 700), std::floor(uniform(0, 15)) };
        start(slot);
    }
    check();
}

double SliceSim::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

bool SliceSim::chance(double probability)
{
    return probability > 0 && uniform(0, 1) < probability;
}

TimePoint SliceSim::clock(const Process &process) const
{
    return TimePoint{ fromSeconds(process.m_offset + m_now * process.m_rate) };
}

void SliceSim::at(double time, std::function<void()> run)
{
    m_events.push({ time, ++m_order, std::move(run) });
}

/// Runs @p handler in the process after the delay, or when its pause ends; not at all if the
/// process has died by then.
void SliceSim::deliver(size_t slot, uint64_t id, double delay, Handler handler)
{
    at(m_now + delay, [this, slot, id, handler = std::move(handler)] {
        Process &process = *m_slots[slot];
        if (process.m_id != id)
            return;
        if (m_now < process.m_pausedUntil)
            return deliver(slot, id, process.m_pausedUntil - m_now, handler);
        handler(process);
    });
}

double SliceSim::messageDelay()
{
    if (chance(m_faults.m_delayed))
        return uniform(0, m_faults.m_longestDelay);
    return uniform(0.0005, 0.05);
}

void SliceSim::send(size_t slot, Handler handler)
{
    const uint64_t id = m_slots[slot]->m_id;
    if (chance(m_faults.m_loss))
        return;
    if (chance(m_faults.m_duplicate))
        deliver(slot, id, messageDelay(), handler);
    deliver(slot, id, messageDelay(), std::move(handler));
}

void SliceSim::start(size_t slot)
{
    m_slots[slot] = std::make_unique<Process>();
    Process &process = *m_slots[slot];
    process.m_id = ++m_lastId;
    process.m_offset = uniform(0, 10'000);
    process.m_rate = 1 + uniform(-m_faults.m_drift / 2, m_faults.m_drift / 2) * 0.99;
    const VmId vm(chance(0.5) ? "vm" + std::to_string(slot) : "new" + std::to_string(m_lastId));
    const SliceNodeId node{ vm, process.m_id };
    const TimePoint now = clock(process);
    process.m_holder.m_settings = m_settings;
    process.m_holder.m_customer = TheCustomer;
    process.m_holder.m_node = node;
    process.m_holder.m_fallback = m_limits.m_fallback;
    process.m_holder.m_started = now;
    process.m_allocator.m_settings = m_settings;
    process.m_allocator.m_customer = TheCustomer;
    process.m_allocator.m_term = { vm, process.m_id };
    process.m_allocator.m_limits = m_limits;
    process.m_lease.m_settings = m_leaseSettings;
    process.m_lease.m_self = vm;
    process.m_lease.m_incarnation = process.m_id;
    process.m_view = m_commonView;
    process.m_viewSince = now;
    deliver(slot, process.m_id, uniform(0, 1),
            [this, slot](Process &self) { tick(slot, self.m_id); });
}

void SliceSim::kill(size_t slot)
{
    start(slot);
}

void SliceSim::run(double seconds)
{
    const double end = m_now + seconds;
    while (!m_events.empty() && m_events.top().m_time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.m_time;
        event.m_run();
    }
    m_now = end;
}

void SliceSim::check()
{
    if (!fitsWithin(sumUsable(), m_limit))
        m_violations += 1;
    at(m_now + 0.1, [this] { check(); });
}

LimitAmount SliceSim::usableOf(size_t slot)
{
    const Process &process = *m_slots[slot];
    const TimePoint now = clock(process);
    if (m_variant != SliceVariant::Naive)
        return usableAmount(process.m_holder, now);
    return now < process.m_naiveExpiry ? process.m_naiveSlice : m_limits.m_fallback;
}

LimitAmount SliceSim::sumUsable()
{
    LimitAmount sum;
    for (size_t slot = 0; slot < NodeCount; ++slot)
        sum = sum + usableOf(slot);
    return sum;
}

std::optional<size_t> SliceSim::allocatingSlot()
{
    for (size_t slot = 0; slot < NodeCount; ++slot) {
        const Process &process = *m_slots[slot];
        if (process.m_allocating && holdsLeaderLease(process.m_lease, clock(process)))
            return slot;
    }
    return std::nullopt;
}

void SliceSim::tick(size_t slot, uint64_t id)
{
    const double period = uniform(0.3, 1.2);
    if (chance(m_faults.m_deathsPerSecond * period))
        return start(slot);
    Process &process = *m_slots[slot];
    if (chance(m_faults.m_pausesPerSecond * period))
        process.m_pausedUntil = m_now + uniform(0, 25);
    stepView(process);
    stepSteward(slot, process);
    if (m_variant == SliceVariant::Naive)
        stepNaiveNode(slot, process);
    else
        stepNode(slot, process);
    deliver(slot, id, period, [this, slot](Process &self) { tick(slot, self.m_id); });
}

void SliceSim::stepView(Process &process)
{
    size_t view = chance(m_faults.m_viewChangesPerSecond) ? m_random() % NodeCount : m_commonView;
    if (m_faults.m_viewChangesPerSecond > 0 && chance(0.5))
        view = process.m_view;
    if (chance(m_faults.m_viewChangesPerSecond * 0.1))
        m_commonView = m_random() % NodeCount;
    if (view == process.m_view)
        return;
    process.m_view = view;
    process.m_viewSince = clock(process);
}

void SliceSim::stepSteward(size_t slot, Process &process)
{
    const TimePoint now = clock(process);
    const bool wantsLease = process.m_view == slot;
    if (m_variant != SliceVariant::Real) {
        const bool waited = now - process.m_viewSince > m_settings.m_ttl;
        if (wantsLease && waited && !process.m_allocating)
            startAllocating(process.m_allocator, now + Seconds(100'000), {}, now, now);
        process.m_allocating = wantsLease && waited;
        return;
    }
    process.m_allocating = process.m_allocating && holdsLeaderLease(process.m_lease, now);
    removeIdleNodes(process.m_allocator, now);
    if (!wantsLease || process.m_storeBusy)
        return;
    if (!process.m_lease.m_observed || process.m_lease.m_pendingWrite)
        return readStore(slot, process);
    if (const auto write = beginLeaderLeaseWrite(process.m_lease, now))
        return writeStore(slot, process, *write);
    if (holdsLeaderLease(process.m_lease, now))
        return;
    if (chance(0.5))
        return requestHandover(slot, process);
    readStore(slot, process);
}

void SliceSim::applyLeaderLease(Process &process, const std::vector<OutstandingSlice> &slices)
{
    const TimePoint now = clock(process);
    if (!holdsLeaderLease(process.m_lease, now))
        return;
    startAllocating(process.m_allocator, process.m_lease.m_heldUntil, slices,
                    process.m_handoverRequestedAt, now);
    process.m_allocating = true;
}

void SliceSim::readStore(size_t slot, Process &process)
{
    process.m_storeBusy = true;
    const uint64_t id = process.m_id;
    // Timeout of the store client, after which the process tries again.
    deliver(slot, id, 2, [](Process &self) { self.m_storeBusy = false; });
    if (!storeUp())
        return;
    at(m_now + messageDelay(), [this, slot, id] {
        const auto version = m_storeVersion;
        const auto record = m_storeRecord;
        if (chance(m_faults.m_loss))
            return;
        deliver(slot, id, messageDelay(), [this, version, record](Process &self) {
            self.m_storeBusy = false;
            observeLeaderLease(self.m_lease, version, record, clock(self));
            applyLeaderLease(self, {});
        });
    });
}

void SliceSim::writeStore(size_t slot, Process &process, const LeaderLeaseWrite &write)
{
    process.m_storeBusy = true;
    const uint64_t id = process.m_id;
    deliver(slot, id, 2, [](Process &self) { self.m_storeBusy = false; });
    if (!storeUp())
        return;
    at(m_now + messageDelay(), [this, slot, id, write] {
        const bool written = m_storeVersion == write.m_ifVersion;
        if (written) {
            m_storeVersion += 1;
            m_storeRecord = write.m_record;
        }
        const uint64_t version = m_storeVersion;
        if (chance(m_faults.m_loss))
            return;
        deliver(slot, id, messageDelay(), [this, write, written, version](Process &self) {
            self.m_storeBusy = false;
            if (written)
                confirmLeaderLeaseWrite(self.m_lease, write.m_record.m_writeId, version,
                                        clock(self));
            else
                rejectLeaderLeaseWrite(self.m_lease);
            applyLeaderLease(self, {});
        });
    });
}

void SliceSim::requestHandover(size_t slot, Process &process)
{
    // Unique over all processes, as a real request identifies its process.
    process.m_handoverRequest = ++m_lastHandoverRequest;
    process.m_handoverRequestedAt = clock(process);
    const uint64_t number = process.m_handoverRequest;
    for (size_t other = 0; other < NodeCount; ++other) {
        if (m_slots[other]->m_lease.m_self == process.m_lease.m_record.m_holder || chance(0.1))
            send(other, [this, slot, number](Process &holder) {
                answerHandoverRequest(holder, slot, number);
            });
    }
}

void SliceSim::answerHandoverRequest(Process &holder, size_t slot, uint64_t number)
{
    const TimePoint now = clock(holder);
    if (holder.m_view == slot || chance(0.2)) {
        const auto handover = handOverLeaderLease(holder.m_lease, now);
        if (!handover)
            return;
        holder.m_allocating = false;
        const auto slices = stopAllocating(holder.m_allocator, now);
        send(slot, [this, number, slices, handover = *handover](Process &self) {
            if (self.m_handoverRequest != number)
                return;
            self.m_handoverRequest = 0;
            receiveLeaderLease(self.m_lease, handover, self.m_handoverRequestedAt, clock(self));
            applyLeaderLease(self, slices);
        });
    }
}

void SliceSim::stepNode(size_t slot, Process &process)
{
    const TimePoint now = clock(process);
    const LimitAmount inUse{ 0, std::min(m_demand[slot].m_concurrency,
                                         usableAmount(process.m_holder, now).m_concurrency) };
    const SliceRequest request = makeSliceRequest(process.m_holder, m_demand[slot], inUse, now);
    send(process.m_view,
         [this, slot, request](Process &steward) { answerSliceRequest(steward, slot, request); });
}

void SliceSim::answerSliceRequest(Process &steward, size_t slot, const SliceRequest &request)
{
    if (!steward.m_allocating)
        return;
    const auto grant = receiveSliceRequest(steward.m_allocator, request, clock(steward));
    if (!grant)
        return;
    send(slot, [this, grant = *grant](Process &node) {
        receiveGrant(node.m_holder, grant, clock(node));
    });
}

void SliceSim::stepNaiveNode(size_t slot, Process &process)
{
    SliceRequest request;
    request.m_node = process.m_holder.m_node;
    request.m_demand = m_demand[slot];
    send(process.m_view,
         [this, slot, request](Process &steward) { answerNaiveRequest(steward, slot, request); });
}

void SliceSim::answerNaiveRequest(Process &steward, size_t slot, const SliceRequest &request)
{
    if (!steward.m_allocating)
        return;
    const TimePoint now = clock(steward);
    LimitAmount remaining = m_limit - m_limits.m_fallback * NodeCount;
    for (const auto &[node, grant] : steward.m_naiveGrants) {
        if (node != request.m_node && now < grant.second)
            remaining = remaining - grant.first;
    }
    const LimitAmount amount =
        componentMin(componentMax(remaining, {}), request.m_demand) + m_limits.m_fallback;
    steward.m_naiveGrants[request.m_node] = { amount - m_limits.m_fallback,
                                              now + m_settings.m_ttl };
    send(slot, [this, amount](Process &node) {
        node.m_naiveSlice = amount;
        node.m_naiveExpiry = clock(node) + m_settings.m_ttl;
    });
}

} // namespace stackquay
