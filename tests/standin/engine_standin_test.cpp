#include "client.h"

namespace stackquay::standin {
namespace {

constexpr size_t Block = BlockTokens;

/// A prompt of exactly @p tokens tokens that begins with @p seed.
std::string makePrompt(const std::string &seed, size_t tokens)
{
    std::string prompt = seed;
    while (prompt.size() < tokens * PromptBytesPerToken)
        prompt += seed + std::to_string(prompt.size());
    prompt.resize(tokens * PromptBytesPerToken);
    return prompt;
}

/// What a stream brought.
struct Answer {
    unsigned m_status = 0;
    bool m_whole = false; ///< Clean end after a final frame.
    std::string m_text;
    size_t m_next = 0; ///< Index after the last token.
    size_t m_gaps = 0; ///< Frames that don't follow the one before.
    size_t m_wrongAttempts = 0;
    Json m_final;
    std::string m_body; ///< Of a refusal.
};

void takeFrame(Answer &answer, const Json &frame, const std::string &attempt)
{
    answer.m_wrongAttempts += frame["attempt"] != attempt;
    if (!frame.contains("text")) {
        answer.m_final = frame;
        return;
    }
    answer.m_gaps += frame["index"] != answer.m_next;
    answer.m_text += frame["text"].get<std::string>();
    answer.m_next = frame["index"].get<size_t>() + frame["n"].get<size_t>();
}

/// Reads frames until the end, a cut, or @p stopAt tokens, after which the caller hangs up.
Answer readAnswer(HttpConnection &connection, const std::string &attempt, size_t from,
                  size_t stopAt = SIZE_MAX)
{
    Answer answer;
    answer.m_next = from;
    const auto header = connection.readHeader(Seconds(20));
    if (!header)
        return answer;
    answer.m_status = header->m_status;
    if (header->m_status != 200) {
        answer.m_body = connection.readWhole(Seconds(20)).value_or("");
        return answer;
    }
    std::string buffer;
    std::string piece;
    while (answer.m_next < stopAt) {
        if (!connection.readBody(piece, Seconds(20)))
            return answer;
        if (piece.empty()) {
            answer.m_whole = !answer.m_final.is_null();
            return answer;
        }
        buffer += piece;
        for (size_t end = buffer.find("\n\n"); end != std::string::npos;
             end = buffer.find("\n\n")) {
            takeFrame(answer, Json::parse(buffer.substr(6, end - 6)), attempt);
            buffer.erase(0, end + 2);
        }
    }
    connection.cancel();
    return answer;
}

class EngineStandinTest : public testing::Test
{
protected:
    EngineStandinTest() { m_settings.m_limits.m_timeScale = 0; }

    void host() { m_engine = std::make_unique<Hosted<EngineStandin>>(m_settings); }

    static Json request(const std::string &attempt, const std::string &prompt, size_t tokens)
    {
        return { { "attempt", attempt },
                 { "owner", "vm:1" },
                 { "model", "m" },
                 { "prompt", prompt },
                 { "max_tokens", tokens } };
    }

    std::future<Answer> start(HttpRequest httpRequest, std::string attempt, size_t from,
                              size_t stopAt = SIZE_MAX)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        auto future = promise->get_future();
        m_client.thread().post([=, this, httpRequest = std::move(httpRequest)] {
            HttpConnection connection(m_client.thread().context());
            Answer answer;
            if (connection.connect(m_engine->address(), Seconds(5))
                && connection.send(httpRequest, Seconds(5)))
                answer = readAnswer(connection, attempt, from, stopAt);
            promise->set_value(std::move(answer));
        });
        return future;
    }

    std::future<Answer> startComplete(const Json &body, size_t stopAt = SIZE_MAX)
    {
        return start({ "POST", "/v1/completions", {}, body.dump() }, body["attempt"],
                     body.value("skip", size_t(0)), stopAt);
    }

    Answer complete(const Json &body) { return startComplete(body).get(); }

    Answer resume(const std::string &attempt, size_t from)
    {
        const std::string target = "/v1/attempts/" + attempt + "?from=" + std::to_string(from);
        return start({ "GET", target, {}, "" }, attempt, from).get();
    }

    Result<HttpResponse> call(const std::string &method, const std::string &target,
                              const Json &body = Json())
    {
        const std::string text = body.is_null() ? "" : body.dump();
        return m_client.call(m_engine->address(), { method, target, {}, text });
    }

    bool cancel(const std::string &attempt)
    {
        return jsonOf(call("POST", "/v1/cancel", { { "attempt", attempt } }))["cancelled"];
    }

    Result<HttpResponse> startReserve(size_t tokens, int ttl)
    {
        return call(
            "POST", "/handles",
            { { "owner", "vm:1" }, { "attempt", "a" }, { "tokens", tokens }, { "ttl_ms", ttl } });
    }

    /// The id of a handle without expiry.
    std::string reserve(size_t tokens) { return jsonOf(startReserve(tokens, 0))["handle"]; }

    Result<HttpResponse> import(const std::string &handle, const std::string &state)
    {
        return m_client.call(m_engine->address(),
                             { "POST", "/kv/import?handle=" + handle, {}, state });
    }

    /// Waits for a condition that the engine's own progress brings about.
    template<typename Condition>
    void await(Condition condition)
    {
        while (!condition((*m_engine)->stats()))
            std::this_thread::yield();
    }

    /// So slow that no step ends while a test runs, unless it takes no computing.
    void freezeSteps()
    {
        m_settings.m_limits.m_timeScale = 1;
        m_settings.m_limits.m_stepBase = std::chrono::hours(1);
    }

    EngineSettings m_settings;
    std::unique_ptr<Hosted<EngineStandin>> m_engine;
    Client m_client;
};

TEST_F(EngineStandinTest, AnswersWholeAndDeterministically)
{
    host();
    const std::string prompt = makePrompt("clue", 300);
    for (const char *attempt : { "a1", "a2" }) {
        const Answer answer = complete(request(attempt, prompt, 500));
        EXPECT_TRUE(answer.m_whole);
        EXPECT_EQ(answer.m_text, expectedAnswer(prompt, 0, 500));
        EXPECT_EQ(answer.m_gaps, 0u);
        EXPECT_EQ(answer.m_wrongAttempts, 0u);
        EXPECT_EQ(answer.m_final["tokens"], 500);
        EXPECT_EQ(answer.m_final["finish"], "length");
        // The second time its one full block is cached.
        EXPECT_EQ(answer.m_final["cached"], attempt == std::string("a1") ? 0 : Block);
    }
    const EngineStats stats = (*m_engine)->stats();
    EXPECT_EQ(stats.m_tokens, 1000u);
    EXPECT_EQ(stats.m_prefilledTokens, 300u + 44u);
    EXPECT_EQ(stats.m_memoryUsed, 0u);
    EXPECT_EQ((*m_engine)->executions().at("a1"), 1u);
}

TEST_F(EngineStandinTest, SkipContinuesWithTheTail)
{
    host();
    Json body = request("a", "prompt", 50);
    body["skip"] = 20;
    const Answer answer = complete(body);
    EXPECT_TRUE(answer.m_whole);
    EXPECT_EQ(answer.m_text, expectedAnswer("prompt", 20, 50));
    EXPECT_EQ(answer.m_final["tokens"], 50);
}

TEST_F(EngineStandinTest, CancelFreesMemoryAtOnce)
{
    freezeSteps();
    host();
    auto answer = startComplete(request("a", makePrompt("p", 1000), 100));
    await([](const EngineStats &stats) { return stats.m_started == 1; });
    EXPECT_EQ((*m_engine)->stats().m_memoryUsed, 1100u);
    EXPECT_TRUE(cancel("a"));
    EXPECT_EQ((*m_engine)->stats().m_memoryUsed, 0u);
    EXPECT_FALSE(answer.get().m_whole);
    EXPECT_FALSE(cancel("a"));
    EXPECT_EQ((*m_engine)->stats().m_cancelled, 1u);
}

TEST_F(EngineStandinTest, RefusesWithoutRunning)
{
    freezeSteps();
    m_settings.m_limits.m_memoryTokens = 1000;
    m_settings.m_limits.m_maxWaiting = 1;
    m_settings.m_limits.m_maxRunning = 1;
    m_settings.m_models = { "m:1" };
    host();
    const auto reason = [&](const Json &body) {
        const Answer answer = complete(body);
        return std::to_string(answer.m_status) + " "
               + Json::parse(answer.m_body)["error"]["reason"].get<std::string>();
    };
    EXPECT_EQ(reason(request("a", makePrompt("p", 990), 20)), "413 prompt_too_long");
    Json other = request("a", "p", 1);
    other["version"] = "2";
    EXPECT_EQ(reason(other), "503 model_not_loaded");
    auto running = startComplete(request("b", makePrompt("p", 600), 0));
    await([](const EngineStats &stats) { return stats.m_started == 1; });
    EXPECT_EQ(reason(request("c", makePrompt("q", 600), 0)), "503 no_memory");
    EXPECT_EQ(reason(request("b", "p", 1)), "503 duplicate_attempt");
    auto waiting = startComplete(request("d", "p", 0));
    await([](const EngineStats &stats) { return stats.m_waiting == 1; });
    EXPECT_EQ(reason(request("e", "p", 0)), "503 queue_full");
    call("POST", "/admin/fault", { { "mode", "drain" } });
    EXPECT_EQ(reason(request("e", "p", 0)), "503 draining");
    EXPECT_EQ(jsonOf(call("GET", "/state"))["draining"], true);
    EXPECT_EQ((*m_engine)->executions().size(), 1u);
    cancel("b");
    cancel("d");
    EXPECT_FALSE(running.get().m_whole);
    EXPECT_FALSE(waiting.get().m_whole);
}

TEST_F(EngineStandinTest, CutStreamResumesFromIndex)
{
    m_settings.m_resume = std::chrono::hours(1);
    host();
    call("POST", "/admin/fault", { { "mode", "cut_after" }, { "tokens", 30 }, { "count", 1 } });
    const Answer cut = complete(request("a", "prompt", 100));
    EXPECT_FALSE(cut.m_whole);
    EXPECT_LE(cut.m_next, 30u);
    const Answer rest = resume("a", cut.m_next);
    EXPECT_TRUE(rest.m_whole);
    EXPECT_EQ(cut.m_text + rest.m_text, expectedAnswer("prompt", 0, 100));
    EXPECT_EQ((*m_engine)->stats().m_resumed, 1u);
    EXPECT_EQ((*m_engine)->executions().at("a"), 1u);
    EXPECT_EQ(resume("unknown", 0).m_status, 404u);
}

TEST_F(EngineStandinTest, HungUpStreamIsCancelledAfterTheResumeTime)
{
    m_settings.m_resume = Millis(1);
    m_settings.m_limits.m_memoryTokens = 2'000'000'000;
    host();
    startComplete(request("a", "prompt", 1'000'000'000), 10).get();
    await([](const EngineStats &stats) { return stats.m_cancelled == 1; });
    EXPECT_EQ((*m_engine)->stats().m_memoryUsed, 0u);
    EXPECT_EQ(resume("a", 0).m_status, 404u);
}

TEST(EngineBatchTest, HigherPriorityRunsFirst)
{
    EngineLimits limits;
    limits.m_maxRunning = 1;
    EngineBatch batch(limits);
    const auto submit = [&](const char *attempt, int64_t priority) {
        EngineRequest request;
        request.m_attempt = attempt;
        request.m_prompt = std::make_shared<EnginePrompt>(readPrompt("prompt"));
        request.m_maxTokens = 1;
        request.m_priority = priority;
        return batch.submit(request, TimePoint()).m_attempt;
    };
    const AttemptPtr low = submit("low", 0);
    const AttemptPtr high = submit("high", 5);
    batch.beginStep(TimePoint());
    batch.endStep(TimePoint());
    EXPECT_EQ(high->m_state, AttemptState::Finished);
    EXPECT_EQ(low->m_state, AttemptState::Waiting);
}

TEST(EngineBatchTest, LongPrefillHoldsUpTheStep)
{
    EngineLimits limits;
    limits.m_stepBase = Micros(1000);
    limits.m_prefillMicrosPerToken = 10;
    EngineBatch batch(limits);
    const auto submit = [&](const char *attempt, size_t tokens) {
        EngineRequest request;
        request.m_attempt = attempt;
        request.m_prompt = std::make_shared<EnginePrompt>(readPrompt(makePrompt(attempt, tokens)));
        request.m_maxTokens = 1;
        return batch.submit(request, TimePoint()).m_attempt;
    };
    submit("long", 100'000);
    const AttemptPtr next = submit("short", 100);
    EXPECT_EQ(batch.beginStep(TimePoint()), Micros(1000 + 1'000'000));
    batch.endStep(TimePoint());
    EXPECT_EQ(next->m_state, AttemptState::Waiting);
    EXPECT_EQ(batch.beginStep(TimePoint()), Micros(1000 + 1000));
}

TEST_F(EngineStandinTest, ChunkedPrefillLeavesTheWholePromptCached)
{
    host();
    const std::string prompt = makePrompt("long", 10 * Block + 10);
    size_t covered = 0;
    size_t chunks = 0;
    while (covered < 10 * Block + 10 && chunks < 10) {
        Json chunk = request("chunk" + std::to_string(chunks++), prompt, 0);
        chunk["prefill_only"] = true;
        chunk["prefill_limit"] = 4 * Block;
        const Answer answer = complete(chunk);
        ASSERT_TRUE(answer.m_whole);
        EXPECT_EQ(answer.m_final["cached"], covered);
        EXPECT_LE(answer.m_final["prefilled"], 4 * Block);
        covered =
            answer.m_final["cached"].get<size_t>() + answer.m_final["prefilled"].get<size_t>();
    }
    EXPECT_EQ(chunks, 3u);
    const Answer answer = complete(request("full", prompt, 5));
    EXPECT_EQ(answer.m_final["cached"], 10 * Block);
    EXPECT_EQ(answer.m_text, expectedAnswer(prompt, 0, 5));
}

TEST_F(EngineStandinTest, CacheEvictsLeastRecentlyUsedAndTells)
{
    m_settings.m_limits.m_memoryTokens = 4 * Block;
    host();
    complete(request("a", makePrompt("a", 2 * Block), 0));
    complete(request("b", makePrompt("b", Block), 0));
    complete(request("a2", makePrompt("a", 2 * Block), 0));
    complete(request("c", makePrompt("c", 2 * Block), 0));
    EXPECT_EQ((*m_engine)->stats().m_memoryCached, 4 * Block);
    const Json events = jsonOf(call("GET", "/cache/events?from=0"));
    std::vector<std::string> evicted;
    for (const Json &event : events["events"]) {
        if (event["kind"] == "evicted")
            evicted.push_back(event["block"]);
    }
    const EnginePrompt b = readPrompt(makePrompt("b", Block));
    EXPECT_EQ(evicted, std::vector<std::string>{ blockNameText(b.m_blocks[0]) });
    const std::string next = std::to_string(events["next"].get<int>());
    EXPECT_TRUE(jsonOf(call("GET", "/cache/events?from=" + next))["events"].empty());
}

TEST_F(EngineStandinTest, CacheEventsAndLoadLag)
{
    m_settings.m_eventLag = std::chrono::hours(1);
    m_settings.m_reportLag = std::chrono::hours(1);
    freezeSteps();
    host();
    auto answer = startComplete(request("a", makePrompt("a", Block), 0));
    await([](const EngineStats &stats) { return stats.m_running == 1; });
    EXPECT_EQ(jsonOf(call("GET", "/load"))["running"], 0);
    EXPECT_TRUE(jsonOf(call("GET", "/cache/events?from=0"))["events"].empty());
    cancel("a");
    answer.get();
}

TEST_F(EngineStandinTest, OldFenceIsRefusedOnlyIfChecked)
{
    for (const bool checks : { true, false }) {
        m_settings.m_checkFencing = checks;
        m_settings.m_models = { "m:1" };
        host();
        const auto order = [&](const char *id, int fence, const char *version) {
            return statusOf(call("POST", "/orders",
                                 { { "order", id },
                                   { "fence", fence },
                                   { "action", "load" },
                                   { "model", "m" },
                                   { "version", version } }));
        };
        EXPECT_EQ(order("o1", 7, "2"), 200u);
        EXPECT_EQ(order("o1", 7, "2"), 200u);
        EXPECT_EQ(order("o2", 6, "3"), checks ? 409u : 200u);
        const Json state = jsonOf(call("GET", "/state"));
        EXPECT_EQ(state["models"].size(), checks ? 2u : 3u);
        EXPECT_EQ(state["fence"], 7);
        EXPECT_EQ(jsonOf(call("GET", "/admin/stats"))["orders_applied"], checks ? 1 : 2);
    }
}

TEST_F(EngineStandinTest, HandlesReserveListAndRelease)
{
    m_settings.m_limits.m_memoryTokens = 1000;
    host();
    const std::string handle = reserve(900);
    EXPECT_EQ(statusOf(startReserve(200, 0)), 503u);
    const Json listed = jsonOf(call("GET", "/handles"))["handles"];
    ASSERT_EQ(listed.size(), 1u);
    EXPECT_EQ(listed[0]["owner"], "vm:1");
    EXPECT_EQ(listed[0]["tokens"], 900);
    EXPECT_EQ(statusOf(call("DELETE", "/handles/" + handle)), 200u);
    EXPECT_EQ(statusOf(call("DELETE", "/handles/" + handle)), 404u);
    EXPECT_EQ(statusOf(startReserve(1000, 1)), 200u);
    await([](const EngineStats &stats) { return stats.m_handles == 0; });
    EXPECT_EQ((*m_engine)->stats().m_memoryUsed, 0u);
}

TEST_F(EngineStandinTest, SpanOverTwoEnginesGivesTheWholeAnswer)
{
    m_settings.m_limits.m_memoryTokens = 8 * Block;
    host();
    auto other = std::move(m_engine);
    host();
    const std::string prompt = makePrompt("span", 12 * Block);
    EXPECT_EQ(complete(request("x", prompt, 1)).m_status, 413u);
    const std::string handle1 = reserve(8 * Block);
    Json segment = request("s1", prompt, 0);
    segment["handle"] = handle1;
    segment["prefill_only"] = true;
    segment["prefill_limit"] = 7 * Block;
    EXPECT_EQ(complete(segment).m_final["prefilled"], 7 * Block);
    const auto state = call("POST", "/kv/export", { { "handle", handle1 } });
    ASSERT_TRUE(state);
    std::swap(m_engine, other);
    const std::string handle2 = reserve(8 * Block);
    const auto imported = import(handle2 + "&as=segment", state->m_body);
    EXPECT_EQ(jsonOf(imported)["tokens"], 7 * Block);
    Json wrong = request("s0", makePrompt("other", 12 * Block), 100);
    wrong["handle"] = handle2;
    EXPECT_EQ(complete(wrong).m_status, 503u);
    Json last = request("s2", prompt, 100);
    last["handle"] = handle2;
    const Answer answer = complete(last);
    EXPECT_TRUE(answer.m_whole);
    EXPECT_EQ(answer.m_text, expectedAnswer(prompt, 0, 100));
    EXPECT_EQ(answer.m_final["cached"], 7 * Block);
    EXPECT_EQ((*m_engine)->stats().m_prefilledTokens, 5 * Block);
    call("DELETE", "/handles/" + handle2);
    EXPECT_EQ((*m_engine)->stats().m_memoryUsed, 0u);
}

TEST_F(EngineStandinTest, ImportedStateIsCached)
{
    host();
    const std::string prompt = makePrompt("move", 4 * Block);
    const std::string source = reserve(4 * Block);
    Json prefill = request("p", prompt, 0);
    prefill["handle"] = source;
    prefill["prefill_only"] = true;
    complete(prefill);
    const auto state = call("POST", "/kv/export", { { "handle", source } });
    ASSERT_TRUE(state);
    host();
    const std::string small = reserve(Block);
    EXPECT_EQ(statusOf(import(small, state->m_body)), 503u);
    const std::string target = reserve(4 * Block);
    EXPECT_EQ(jsonOf(import(target, state->m_body))["tokens"], 4 * Block);
    EXPECT_EQ(complete(request("a", prompt, 3)).m_final["cached"], 4 * Block);
    call("DELETE", "/handles/" + target);
    EXPECT_EQ((*m_engine)->stats().m_memoryUsed, Block);
}

TEST_F(EngineStandinTest, FrameFaultsShow)
{
    m_settings.m_tokensPerFrame = 10;
    host();
    call("POST", "/admin/fault", { { "mode", "wrong_attempt" }, { "count", 2 } });
    EXPECT_EQ(complete(request("a", "p", 100)).m_wrongAttempts, 2u);
    call("POST", "/admin/fault", { { "mode", "skip_frame" }, { "count", 1 } });
    EXPECT_EQ(complete(request("b", "p", 100)).m_gaps, 1u);
    call("POST", "/admin/fault", { { "mode", "duplicate_frame" }, { "count", 1 } });
    EXPECT_EQ(complete(request("c", "p", 100)).m_gaps, 1u);
    EXPECT_EQ(complete(request("d", "p", 100)).m_gaps, 0u);
}

TEST_F(EngineStandinTest, DeadEngineLosesAllAndRestartsEmpty)
{
    freezeSteps();
    host();
    auto lost = startComplete(request("a", makePrompt("p", 500), 0));
    await([](const EngineStats &stats) { return stats.m_started == 1; });
    EngineFault fault;
    fault.m_mode = EngineFaultMode::Die;
    (*m_engine)->setFault(fault);
    EXPECT_FALSE(lost.get().m_whole);
    EXPECT_FALSE(call("GET", "/load"));
    fault.m_mode = EngineFaultMode::Ok;
    (*m_engine)->setFault(fault);
    EXPECT_EQ(jsonOf(call("GET", "/load"))["memory_used"], 0);
    EXPECT_EQ(resume("a", 0).m_status, 404u);
}

TEST_F(EngineStandinTest, HangingEngineAnswersAfterwards)
{
    host();
    call("POST", "/admin/fault", { { "mode", "hang" } });
    auto answer = startComplete(request("a", "prompt", 10));
    EXPECT_EQ(jsonOf(call("GET", "/admin/stats"))["accepted"], 0);
    call("POST", "/admin/fault", { { "mode", "ok" } });
    EXPECT_EQ(answer.get().m_text, expectedAnswer("prompt", 0, 10));
}

} // namespace
} // namespace stackquay::standin
