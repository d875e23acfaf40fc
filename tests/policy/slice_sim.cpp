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
    m_settings.m_askEvery = Seconds(1);
    m_settings.m_quiet = Seconds(13);
    m_tenureSettings.m_length = Seconds(10);
    m_tenureSettings.m_renewEvery = Seconds(3);
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

/// Runs @p handler in a process unless it is dead by then; waits while it is paused.
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
    if (chance(m_faults.m_late))
        return uniform(0, m_faults.m_longestDelay);
    return uniform(0.0005, 0.05);
}

void SliceSim::send(size_t slot, Handler handler)
{
    const uint64_t id = m_slots[slot]->m_id;
    if (chance(m_faults.m_loss))
        return;
    if (chance(m_faults.m_repeat))
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
    process.m_lender.m_settings = m_settings;
    process.m_lender.m_customer = TheCustomer;
    process.m_lender.m_term = { vm, process.m_id };
    process.m_lender.m_limits = m_limits;
    process.m_tenure.m_settings = m_tenureSettings;
    process.m_tenure.m_self = vm;
    process.m_tenure.m_incarnation = process.m_id;
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
    if (!fits(sumUsable(), m_limit))
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

std::optional<size_t> SliceSim::lendingSlot()
{
    for (size_t slot = 0; slot < NodeCount; ++slot) {
        const Process &process = *m_slots[slot];
        if (process.m_lending && holdsTenure(process.m_tenure, clock(process)))
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
    const bool wantsTo = process.m_view == slot;
    if (m_variant != SliceVariant::Real) {
        const bool waited = now - process.m_viewSince > m_settings.m_ttl;
        if (wantsTo && waited && !process.m_lending)
            beginLending(process.m_lender, now + Seconds(100'000), {}, now, now);
        process.m_lending = wantsTo && waited;
        return;
    }
    process.m_lending = process.m_lending && holdsTenure(process.m_tenure, now);
    forgetIdleNodes(process.m_lender, now);
    if (!wantsTo || process.m_storeBusy)
        return;
    if (!process.m_tenure.m_observed || process.m_tenure.m_pending)
        return readStore(slot, process);
    if (const auto write = beginTenureWrite(process.m_tenure, now))
        return writeStore(slot, process, *write);
    if (holdsTenure(process.m_tenure, now))
        return;
    if (chance(0.5))
        return askHandover(slot, process);
    readStore(slot, process);
}

void SliceSim::takeTenure(Process &process, const std::vector<LentSlice> &slices)
{
    const TimePoint now = clock(process);
    if (!holdsTenure(process.m_tenure, now))
        return;
    beginLending(process.m_lender, process.m_tenure.m_until, slices, process.m_askedAt, now);
    process.m_lending = true;
}

void SliceSim::readStore(size_t slot, Process &process)
{
    process.m_storeBusy = true;
    const uint64_t id = process.m_id;
    // The caller's own timeout, after which it tries again.
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
            observeTenure(self.m_tenure, version, record, clock(self));
            takeTenure(self, {});
        });
    });
}

void SliceSim::writeStore(size_t slot, Process &process, const TenureWrite &write)
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
                tenureWritten(self.m_tenure, write.m_record.m_writeId, version, clock(self));
            else
                tenureRefused(self.m_tenure);
            takeTenure(self, {});
        });
    });
}

void SliceSim::askHandover(size_t slot, Process &process)
{
    // Unique over all processes, as a real question names its process.
    process.m_askedHandover = ++m_lastQuestion;
    process.m_askedAt = clock(process);
    const uint64_t number = process.m_askedHandover;
    for (size_t other = 0; other < NodeCount; ++other) {
        if (m_slots[other]->m_tenure.m_self == process.m_tenure.m_record.m_holder || chance(0.1))
            send(other,
                 [this, slot, number](Process &holder) { answerHandover(holder, slot, number); });
    }
}

void SliceSim::answerHandover(Process &holder, size_t slot, uint64_t number)
{
    const TimePoint now = clock(holder);
    if (holder.m_view == slot || chance(0.2)) {
        const auto handover = handOverTenure(holder.m_tenure, now);
        if (!handover)
            return;
        holder.m_lending = false;
        const auto slices = stopLending(holder.m_lender, now);
        send(slot, [this, number, slices, handover = *handover](Process &self) {
            if (self.m_askedHandover != number)
                return;
            self.m_askedHandover = 0;
            receiveTenure(self.m_tenure, handover, self.m_askedAt, clock(self));
            takeTenure(self, slices);
        });
    }
}

void SliceSim::stepNode(size_t slot, Process &process)
{
    const TimePoint now = clock(process);
    const LimitAmount inUse{ 0, std::min(m_demand[slot].m_concurrency,
                                         usableAmount(process.m_holder, now).m_concurrency) };
    const SliceAsk ask = makeAsk(process.m_holder, m_demand[slot], inUse, now);
    send(process.m_view, [this, slot, ask](Process &steward) { answerAsk(steward, slot, ask); });
}

void SliceSim::answerAsk(Process &steward, size_t slot, const SliceAsk &ask)
{
    if (!steward.m_lending)
        return;
    const auto grant = receiveAsk(steward.m_lender, ask, clock(steward));
    if (!grant)
        return;
    send(slot, [this, grant = *grant](Process &node) {
        receiveGrant(node.m_holder, grant, clock(node));
    });
}

void SliceSim::stepNaiveNode(size_t slot, Process &process)
{
    SliceAsk ask;
    ask.m_node = process.m_holder.m_node;
    ask.m_demand = m_demand[slot];
    send(process.m_view,
         [this, slot, ask](Process &steward) { answerNaiveAsk(steward, slot, ask); });
}

void SliceSim::answerNaiveAsk(Process &steward, size_t slot, const SliceAsk &ask)
{
    if (!steward.m_lending)
        return;
    const TimePoint now = clock(steward);
    LimitAmount left = m_limit - m_limits.m_fallback * NodeCount;
    for (const auto &[node, lent] : steward.m_naiveLent) {
        if (node != ask.m_node && now < lent.second)
            left = left - lent.first;
    }
    const LimitAmount amount = smallest(largest(left, {}), ask.m_demand) + m_limits.m_fallback;
    steward.m_naiveLent[ask.m_node] = { amount - m_limits.m_fallback, now + m_settings.m_ttl };
    send(slot, [this, amount](Process &node) {
        node.m_naiveSlice = amount;
        node.m_naiveExpiry = clock(node) + m_settings.m_ttl;
    });
}

} // namespace stackquay
