#include "pool_sim.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// Interval at which a waiting request polls, as at a VM.
constexpr Millis PollInterval{ 12 };
double secondsOf(std::chrono::duration<double> duration)
{
    return duration.count();
}

/// State of one prompt.
struct Prompt {
    LoadKey m_key;
    ModelRequest m_request;
    QueuedRequest m_queueEntry;
    PromptOutcome m_outcome;
    size_t m_partsLeft = 0;
    uint32_t m_eventsLeft = 0;
    size_t m_engine = 0; ///< Index of the engine that answers.
    TimePoint m_lastEvent{}; ///< Zero: none yet.
    bool m_callerGone = false; ///< Its caller has given up.
    bool m_justArrived = false; ///< Not polled since its arrival.
    Duration m_predictedTurn{}; ///< At its arrival.
};

struct Part {
    size_t m_prompt = 0;
    FloatMillis m_prefill{ 0 };
};

struct Engine {
    std::vector<Part> m_waiting;
    std::vector<Part> m_prefilling; ///< In the current pass.
    std::vector<size_t> m_decodingStreams;
    std::vector<size_t> m_decodingNow; ///< In the current pass.
    std::optional<TimePoint> m_passEnd;
    double m_context = 0; ///< Context tokens of its decoding streams.
    bool m_ended = false;
};

class PoolSim
{
public:
    PoolSim(const PoolLoad &load, uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_engines(load.m_engines)
    {
        for (size_t i = 0; i < load.m_engines; ++i) {
            EndpointRecord record;
            record.m_id = EndpointId(fmt::format("engine-{:03}", i));
            record.m_slots = load.m_costs.m_slots;
            m_indexes[record.m_id] = i;
            m_pool.push_back(std::move(record));
        }
    }

    PoolRun play()
    {
        drawArrivals();
        const TimePoint end = Start + m_load.m_length;
        size_t next = 0;
        for (TimePoint now = Start;
             now < end || next < m_prompts.size() || !m_waiting.empty() || !m_returning.empty();
             now += PollInterval) {
            runEngines(now);
            if (m_load.m_missingEngines > 0 && m_pool.size() == m_engines.size()
                && now >= Start + m_load.m_length / 2)
                endEngines();
            for (; next < m_prompts.size() && m_prompts[next].m_request.m_arrival <= now; ++next)
                enqueue(next);
            while (!m_returning.empty() && m_returning.begin()->first <= now) {
                comeBack(m_returning.begin()->second, now);
                m_returning.erase(m_returning.begin());
            }
            pollAll(now);
            if (now < end)
                countIdle(now);
        }
        // Let the started requests finish.
        for (int i = 0; i < DrainPolls; ++i)
            runEngines(end + PollInterval * i);
        PoolRun run;
        for (const Prompt &prompt : m_prompts)
            run.m_outcomes.push_back(prompt.m_outcome);
        run.m_time = m_time;
        run.m_idleMsPerSlice = std::move(m_idleMs);
        return run;
    }

private:
    static constexpr TimePoint Start = PoolStart;
    static constexpr int DrainPolls = 2'000;
    /// When a caller comes back that was not told to.
    static constexpr Millis BaselineDelay{ 250 };
    static constexpr Millis TravelTime{ 6 };

    /// Ends m_missingEngines engines, and the prompts that they prefill or answer.
    void endEngines()
    {
        std::vector<EndpointId> ended;
        for (size_t i = 0; i < m_load.m_missingEngines; ++i) {
            const size_t index = i * m_engines.size() / m_load.m_missingEngines;
            m_engines[index] = {};
            m_engines[index].m_ended = true;
            ended.push_back(m_pool[index].m_id);
        }
        const auto hasEnded = [&ended](const EndpointId &id) {
            return std::find(ended.begin(), ended.end(), id) != ended.end();
        };
        std::erase_if(m_pool, [&](const EndpointRecord &engine) { return hasEnded(engine.m_id); });
        std::vector<LoadKey> lost;
        for (const auto &[key, load] : m_ledger.loads()) {
            const auto at = [&](const LoadPart &part) { return hasEnded(part.m_endpoint); };
            const auto &parts = load.m_parts;
            if (at(parts.front())
                || (!load.m_decoding && std::any_of(parts.begin(), parts.end(), at)))
                lost.push_back(key);
        }
        for (const LoadKey &key : lost)
            m_ledger.end(key);
        m_poolViews = {};
    }

    void countIdle(TimePoint now)
    {
        const auto idle =
            std::count_if(m_engines.begin(), m_engines.end(), [](const Engine &engine) {
                return !engine.m_passEnd && !engine.m_ended;
            });
        const double time = secondsOf(PollInterval) * static_cast<double>(idle);
        m_time.m_idle += time;
        const auto slice = static_cast<size_t>((now - Start) / IdleSlice);
        m_idleMs.resize(std::max(m_idleMs.size(), slice + 1));
        m_idleMs[slice] += FloatMillis(PollInterval).count() * static_cast<double>(idle);
        m_time.m_idleWhileWaiting += m_waiting.empty() ? 0 : time;
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void drawArrivals()
    {
        for (size_t kind = 0; kind < m_load.m_kinds.size(); ++kind)
            drawArrivalsOf(kind);
        std::sort(m_prompts.begin(), m_prompts.end(), [](const Prompt &left, const Prompt &right) {
            return left.m_request.m_arrival < right.m_request.m_arrival;
        });
    }

    void drawArrivalsOf(size_t kind)
    {
        const double maxRate = m_load.m_kinds[kind].m_perSecond * maxRateFactor(kind);
        double at = 0;
        const double end = std::chrono::duration<double>(m_load.m_length).count();
        while ((at += std::exponential_distribution<double>(maxRate)(m_random)) < end) {
            // Rejection sampling reduces the maximum rate to the rate of the phase.
            if (draw() * maxRateFactor(kind) <= rateFactorAt(kind, at))
                m_prompts.push_back(drawPrompt(kind, at));
        }
    }

    double maxRateFactor(size_t kind) const
    {
        double maxFactor = 0;
        for (const auto &phase : m_load.m_phases)
            maxFactor = std::max(maxFactor, phase[kind]);
        return maxFactor;
    }

    double rateFactorAt(size_t kind, double at) const
    {
        const double phase = std::chrono::duration<double>(m_load.m_phase).count();
        return m_load.m_phases[static_cast<size_t>(at / phase) % m_load.m_phases.size()][kind];
    }

    Prompt drawPrompt(size_t kind, double at)
    {
        const PromptKind &of = m_load.m_kinds[kind];
        const double middle = std::log(of.m_meanTokens) - of.m_spread * of.m_spread / 2;
        Prompt prompt;
        prompt.m_key = { 1, ++m_sequence };
        prompt.m_outcome.m_kind = kind;
        prompt.m_outcome.m_tokens = std::min(
            std::lognormal_distribution<double>(middle, of.m_spread)(m_random), of.m_maxTokens);
        ModelRequest &request = prompt.m_request;
        request.m_promptTokens = prompt.m_outcome.m_tokens;
        request.m_gapLimitMs = of.m_gapLimitMs;
        request.m_answerTokens = static_cast<double>(m_load.m_costs.m_usualAnswerTokens);
        request.m_arrival =
            Start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        request.m_leavesAt = request.m_arrival + of.m_patience;
        request.m_deadline = request.m_arrival + of.m_deadline;
        prompt.m_outcome.m_arrival = request.m_arrival;
        prompt.m_outcome.m_lastArrival = request.m_arrival;
        prompt.m_eventsLeft = 1
                              + static_cast<uint32_t>(std::exponential_distribution<double>(
                                  1 / of.m_meanEvents)(m_random));
        return prompt;
    }

    /// The request arrives again, with what is left of its time.
    void comeBack(size_t index, TimePoint now)
    {
        Prompt &prompt = m_prompts[index];
        ModelRequest &request = prompt.m_request;
        const Fingerprint print = printOf(index);
        prompt.m_outcome.m_cameBack = true;
        prompt.m_outcome.m_lastArrival = now;
        prompt.m_key = { 1, ++m_sequence };
        ReturnSchedule &places = sideOf(prompt).m_places;
        if (const ReturnPlace *place = places.find(print, now);
            place && now + ReturnTolerance >= place->m_dueAt) {
            request.m_returnOf = place->m_firstArrival;
            places.release(print);
        }
        request.m_arrival = now;
        request.m_leavesAt = now + m_load.m_kinds[prompt.m_outcome.m_kind].m_patience;
        enqueue(index);
    }

    static Fingerprint printOf(size_t index) { return { 0, 0, index + 1 }; }

    void enqueue(size_t index)
    {
        Prompt &prompt = m_prompts[index];
        prompt.m_justArrived = true;
        prompt.m_queueEntry = queuedRequestOf(m_load.m_dispatchSettings, m_load.m_costs,
                                              prompt.m_request, poolSize());
        sideOf(prompt).m_queue[prompt.m_key] = prompt.m_queueEntry;
        m_waiting.push_back(index);
    }

    /// The requests of one kind of stream.
    struct Side {
        DispatchQueue m_queue;
        StartRate m_rate;
        TurnError m_error;
        ReturnSchedule m_places;
    };

    Side &sideOf(const Prompt &prompt) { return m_sides[prompt.m_request.strict()]; }

    /// Requests poll in the order of their arrival; the queue determines which one starts.
    void pollAll(TimePoint now)
    {
        std::vector<size_t> still;
        for (const size_t index : m_waiting) {
            if (!poll(m_prompts[index], index, now))
                still.push_back(index);
        }
        m_waiting = std::move(still);
        for (const bool strict : { false, true }) {
            Side &side = m_sides[strict];
            const TurnLoad load = turnLoadOf(m_load.m_dispatchSettings, m_load.m_costs,
                                             poolView(strict, now).m_side, 0, strict);
            side.m_rate.recordLoad(load.m_servers, !side.m_queue.empty(), now);
        }
    }

    PoolSize poolSize() const
    {
        Millis longestGap{};
        for (const PromptKind &kind : m_load.m_kinds)
            longestGap = std::max(longestGap, Millis(kind.m_gapLimitMs));
        return { m_pool.size(),
                 maxPassPrefill(m_load.m_gang.m_candidates, m_load.m_costs, longestGap) };
    }

    /// The pool as all requests of one kind of stream see it at one time.
    struct PoolView {
        EndpointUses m_uses;
        SideLoad m_side;
        GangSides m_sides;
    };

    /// Computed anew at each time step and after each placement.
    const PoolView &poolView(bool strict, TimePoint now)
    {
        if (m_poolViewAt != now) {
            m_poolViews = {};
            m_poolViewAt = now;
        }
        auto &view = m_poolViews[strict];
        if (view)
            return *view;
        view.emplace();
        view->m_uses = m_ledger.uses(now);
        const StrictDemand demand =
            strictDemandOf(m_load.m_costs, m_sides[true].m_queue, m_ledger, now);
        const auto strictSide = strictEngines(m_split, m_pool, view->m_uses, demand, now);
        view->m_side = sideLoadOf(m_load.m_costs, m_pool, strictSide, view->m_uses,
                                  m_ledger.activeLongPrefills(), strict);
        const size_t expected = expectedStrictEngines(m_split.m_settings, demand, m_pool.size());
        view->m_side.m_expectedEngines = strict ? expected : m_pool.size() - expected;
        view->m_side.m_passPrefill = poolSize().m_passPrefill;
        view->m_sides = splitPool(m_pool, strictSide, strict);
        return *view;
    }

    /// Returns whether the request started or was refused.
    bool poll(Prompt &prompt, size_t index, TimePoint now)
    {
        const ModelRequest &request = prompt.m_request;
        const PoolView &seen = poolView(request.strict(), now);
        Side &side = sideOf(prompt);
        const bool next = mayStartNext(m_load.m_dispatchSettings, m_load.m_costs, request,
                                       side.m_queue, prompt.m_key, seen.m_side, now);
        const auto plan = [&](DisruptionPolicy disruption) {
            GangQuery query = gangQueryOf(m_load.m_dispatchSettings, m_load.m_costs, request,
                                          disruption, poolSize());
            query.m_candidateQuery.m_drawJitter = [this] { return draw(); };
            return planGang(m_load.m_gang, m_load.m_costs, seen.m_sides, seen.m_uses, query);
        };
        const bool justArrived = std::exchange(prompt.m_justArrived, false);
        const Duration turn = turnOf(prompt, seen.m_side, now);
        if (justArrived)
            prompt.m_predictedTurn = turn;
        const DispatchDecision decision =
            decideStart(m_load.m_dispatchSettings, m_load.m_costs, request, prompt.m_queueEntry,
                        next, justArrived ? side.m_error.latest(turn) : turn, plan, now);
        prompt.m_outcome.m_obstacle = decision.m_obstacle;
        if (!decision.m_plan && !decision.m_tooLate)
            return false;
        side.m_queue.erase(prompt.m_key);
        prompt.m_outcome.m_wait = now - request.m_arrival;
        if (!justArrived)
            side.m_error.record(prompt.m_predictedTurn, now - request.m_arrival);
        if (decision.m_plan && !justArrived)
            side.m_rate.recordStart(prompt.m_queueEntry.m_workMs, now);
        if (decision.m_plan)
            place(prompt, index, *decision.m_plan, now);
        else
            refuse(prompt, index, turn, now);
        return true;
    }

    Duration turnOf(const Prompt &prompt, const SideLoad &load, TimePoint now)
    {
        const ModelRequest &request = prompt.m_request;
        const Side &side = sideOf(prompt);
        const TurnLoad turnLoad =
            turnLoadOf(m_load.m_dispatchSettings, m_load.m_costs, load,
                       positionOf(side.m_queue, prompt.m_key, now).m_workAheadMs, request.strict());
        return request.m_returnOf ? predictTurn(turnLoad, side.m_rate.share())
                                  : forecastTurn(turnLoad, side.m_places, side.m_rate.share(), now);
    }

    void refuse(Prompt &prompt, size_t index, Duration turn, TimePoint now)
    {
        PromptOutcome &outcome = prompt.m_outcome;
        outcome.m_refusals.push_back(outcome.m_wait);
        if (outcome.m_refusals.size() > m_load.m_maxReturns)
            return;
        const ModelRequest &request = prompt.m_request;
        Side &side = sideOf(prompt);
        const Duration completion = std::chrono::duration_cast<Duration>(
            expectedCompletion(m_load.m_dispatchSettings, m_load.m_costs, request, poolSize()));
        const ReturnAdvice advice =
            adviseReturn({}, { now, request.m_deadline, side.m_error.latest(turn), completion });
        outcome.m_told = advice.m_keepsPlace;
        const Duration delay = advice.m_delay.value_or(BaselineDelay);
        if (advice.m_keepsPlace)
            side.m_places.keep({ printOf(index), request.m_arrival, now + delay,
                                 now + delay + ReturnGrace, prompt.m_queueEntry.m_workMs });
        m_returning.emplace(now + delay + TravelTime, index);
    }

    void place(Prompt &prompt, size_t index, const GangPlan &plan, TimePoint now)
    {
        prompt.m_outcome.m_started = true;
        prompt.m_partsLeft = plan.m_members.size();
        prompt.m_engine = m_indexes.at(plan.m_members.front().m_endpoint.m_id);
        AttemptLoad load{
            {}, prompt.m_request.m_gapLimitMs, false, now, prompt.m_request.m_deadline
        };
        for (const GangMember &member : plan.m_members) {
            load.m_parts.push_back({ member.m_endpoint.m_id, member.m_prefillMs, member.m_tokens });
            const size_t engine = m_indexes.at(member.m_endpoint.m_id);
            m_engines[engine].m_waiting.push_back({ index, FloatMillis(member.m_prefillMs) });
            if (!m_engines[engine].m_passEnd)
                beginPass(engine, now);
        }
        m_ledger.place(prompt.m_key, std::move(load));
        m_poolViews = {};
    }

    void runEngines(TimePoint until)
    {
        for (;;) {
            std::optional<size_t> first;
            for (size_t i = 0; i < m_engines.size(); ++i) {
                const auto &end = m_engines[i].m_passEnd;
                if (end && *end <= until && (!first || *end < *m_engines[*first].m_passEnd))
                    first = i;
            }
            if (!first)
                return;
            endPass(*first);
        }
    }

    void beginPass(size_t index, TimePoint now)
    {
        Engine &engine = m_engines[index];
        engine.m_prefilling = std::move(engine.m_waiting);
        engine.m_waiting.clear();
        engine.m_decodingNow = engine.m_decodingStreams;
        if (engine.m_prefilling.empty() && engine.m_decodingNow.empty()) {
            engine.m_passEnd.reset();
            return;
        }
        FloatMillis decoding{ 0 };
        if (!engine.m_decodingNow.empty())
            decoding = passTime(m_load.m_costs, static_cast<uint32_t>(engine.m_decodingNow.size()),
                                engine.m_context);
        FloatMillis prefilling{ 0 };
        for (const Part &part : engine.m_prefilling)
            prefilling += part.m_prefill;
        engine.m_passEnd = now + std::chrono::duration_cast<Duration>(decoding + prefilling);
        if (now < Start + m_load.m_length) {
            m_time.m_decoding += secondsOf(decoding);
            m_time.m_prefilling += secondsOf(prefilling);
        }
    }

    /// The engine counts as busy until all results of the pass are processed, so that these do not
    /// start another pass.
    void endPass(size_t index)
    {
        const TimePoint now = *m_engines[index].m_passEnd;
        for (const size_t prompt : m_engines[index].m_decodingNow)
            emitEvent(m_prompts[prompt], prompt, now);
        for (const Part &part : m_engines[index].m_prefilling) {
            Prompt &prompt = m_prompts[part.m_prompt];
            if (--prompt.m_partsLeft == 0)
                beginDecoding(prompt, part.m_prompt, now);
        }
        beginPass(index, now);
    }

    void beginDecoding(Prompt &prompt, size_t index, TimePoint now)
    {
        Engine &engine = m_engines[prompt.m_engine];
        engine.m_decodingStreams.push_back(index);
        engine.m_context += prompt.m_request.m_promptTokens;
        if (!engine.m_passEnd)
            beginPass(prompt.m_engine, now);
    }

    void emitEvent(Prompt &prompt, size_t index, TimePoint now)
    {
        const ModelRequest &request = prompt.m_request;
        const bool first = prompt.m_lastEvent == TimePoint{};
        const Duration silence = now - (first ? request.m_arrival : prompt.m_lastEvent);
        prompt.m_callerGone = prompt.m_callerGone
                              || silence > m_load.m_kinds[prompt.m_outcome.m_kind].m_patience
                              || now > request.m_deadline;
        if (first) {
            m_ledger.recordFirstEvent(prompt.m_key);
            prompt.m_outcome.m_firstEventAt = now;
        }
        prompt.m_lastEvent = now;
        if (--prompt.m_eventsLeft > 0 && !prompt.m_callerGone)
            return;
        Engine &engine = m_engines[prompt.m_engine];
        std::erase(engine.m_decodingStreams, index);
        engine.m_context -= request.m_promptTokens;
        m_ledger.end(prompt.m_key);
        prompt.m_outcome.m_served = !prompt.m_callerGone;
        prompt.m_outcome.m_leftInSilence = prompt.m_callerGone;
    }

    const PoolLoad &m_load;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<EndpointRecord> m_pool;
    std::map<EndpointId, size_t> m_indexes;
    std::vector<Prompt> m_prompts;
    std::vector<size_t> m_waiting;
    uint64_t m_sequence = 0;
    StreamLedger m_ledger;
    std::array<Side, 2> m_sides; ///< Indexed by whether the stream is strict.
    PoolSplit m_split;
    std::multimap<TimePoint, size_t> m_returning; ///< Callers that come back, by time.
    std::array<std::optional<PoolView>, 2>
        m_poolViews; ///< Indexed by whether the stream is strict.
    TimePoint m_poolViewAt{};
    EngineTime m_time;
    std::vector<double> m_idleMs; ///< By IdleSlice.
};

double servedShare(const std::vector<PromptOutcome> &outcomes, size_t from, size_t to)
{
    if (from >= to)
        return 1;
    const auto served =
        std::count_if(outcomes.begin() + static_cast<std::ptrdiff_t>(from),
                      outcomes.begin() + static_cast<std::ptrdiff_t>(to),
                      [](const PromptOutcome &outcome) { return outcome.m_served; });
    return static_cast<double>(served) / static_cast<double>(to - from);
}

} // namespace

PoolRun simulatePool(const PoolLoad &load, uint64_t seed)
{
    return PoolSim(load, seed).play();
}

ServedShares servedShares(const std::vector<PromptOutcome> &outcomes, size_t kind)
{
    std::vector<PromptOutcome> own;
    std::copy_if(outcomes.begin(), outcomes.end(), std::back_inserter(own),
                 [kind](const PromptOutcome &outcome) { return outcome.m_kind == kind; });
    std::sort(own.begin(), own.end(), [](const PromptOutcome &left, const PromptOutcome &right) {
        return left.m_tokens > right.m_tokens;
    });
    const size_t tenth = own.size() / 10;
    return { servedShare(own, 0, own.size()), servedShare(own, 0, tenth),
             servedShare(own, tenth, 3 * tenth), own.size() };
}

} // namespace stackquay
