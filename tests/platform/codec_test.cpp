// What the adapter decodes and encodes, and what it does with input that is none of it.

#include <functional>
#include <future>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fmt/format.h>

#include "peers/peers.h"
#include "platform/platform.h"
#include "relay/relay.h"

namespace stackquay::platform {
namespace {

constexpr const char *Settings = R"({
  "nodeName": "front-a-1", "ip": "10.1.0.40", "zone": "a", "new": {"field": 1},
  "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
  "portRange": [7340, 7355], "limits": {"memoryMb": 260, "maxFds": 4200, "cpuShare": 0.12},
  "bounds": {"strictRevoke": true, "revokeMs": 5000, "retryRatio": 0.2, "retrySlack": 100,
             "retryWindowS": 10, "graceS": 8, "contactMs": 2400, "holdMaxMs": 20000, "freeMs": 4000,
             "applyMs": 3000, "drainMs": 4000},
  "platform": {"address": "10.200.1.7:8223"}})";

TEST(SettingsCodecTest, TakesThePlatformsFile)
{
    const auto settings = decodeSettings(Settings);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->m_vm.str(), "front-a-1");
    EXPECT_EQ(settings->m_dataCentre.str(), "a");
    EXPECT_EQ(toString(settings->m_clients), "10.1.0.40:8227");
    EXPECT_EQ(toString(settings->m_peerRpc), "10.1.0.40:7340");
    EXPECT_EQ(toString(settings->m_loads), "10.1.0.40:7341");
    EXPECT_EQ(toString(settings->m_forward), "10.1.0.40:7342");
    EXPECT_EQ(toString(settings->m_store), "10.200.1.7:8223");
    EXPECT_EQ(settings->m_connections, 2'000u);
    EXPECT_EQ(settings->m_memoryBytes, 260'000'000u);
    EXPECT_EQ(settings->m_millicores, 120u);
    EXPECT_EQ(settings->m_bounds.m_revocationTime, Millis(5'000));
    EXPECT_EQ(settings->m_bounds.m_recoveryTime, Millis(2'400));
    EXPECT_EQ(settings->m_bounds.m_configurationTime, Millis(3'000));
    EXPECT_EQ(settings->m_bounds.m_drainTime, Millis(4'000));
    EXPECT_EQ(knowledgeBound(settings->m_bounds), Millis(3'000));
    EXPECT_DOUBLE_EQ(settings->m_bounds.m_retrySlack, 100);
}

TEST(SettingsCodecTest, NamesAllBadFieldsAtOnce)
{
    const auto settings = decodeSettings(
        R"({"nodeName":"","ip":"10.1.0.40","zone":"a","listen":{"front":"nowhere","ready":7},
            "portRange":[7340,7340],"bounds":{"revokeMs":-1,"strictRevoke":"yes"}})");
    ASSERT_FALSE(settings);
    std::vector<std::string> paths;
    for (const SettingProblem &problem : settings.error()) {
        paths.push_back(problem.m_source);
        EXPECT_NE(problem.m_accepted, "");
    }
    const std::vector<std::string> expected = { "nodeName",       "listen.front",
                                                "listen.ready",   "platform.address",
                                                "portRange",      "bounds.strictRevoke",
                                                "bounds.revokeMs" };
    EXPECT_EQ(paths, expected);
    EXPECT_EQ(settings.error()[1].m_value, "\"nowhere\"");
    EXPECT_FALSE(decodeSettings("[]"));
    EXPECT_FALSE(decodeSettings(""));
}

TEST(RequestCodecTest, ReadsAClientsHead)
{
    const RelayHead head =
        relayDialect().m_readRequestHead({ "POST",
                                           "/a/b",
                                           { { "Host", "h" },
                                             { "x-request-id", "r1" },
                                             { "X-Deadline-Ms", "1500" },
                                             { "X-Token-Counts", "1460, 80" },
                                             { "Last-Event-Id", "12" },
                                             { "Api-Key", "secret" },
                                             { "X-Helpers", "1.2.3.4:5" },
                                             { "X-Request-Urgency", "0" },
                                             { "X-Length-Hint", "70" },
                                             { "Connection", "X-Drop" },
                                             { "X-Drop", "1" },
                                             { "Transfer-Encoding", "chunked" } },
                                           "" });
    EXPECT_EQ(head.m_id.str(), "r1");
    EXPECT_EQ(head.m_deadline, Millis(1'500));
    EXPECT_EQ(head.m_promptTokens, 1'460u);
    EXPECT_EQ(head.m_answerTokens, 80u);
    EXPECT_EQ(head.m_lastEvent, 12u);
    EXPECT_EQ(head.m_key, "secret");
    std::string names;
    for (const HttpHeader &header : head.m_forwardedHeaders)
        names += header.m_name + ";";
    EXPECT_EQ(names, "Host;x-request-id;X-Token-Counts;X-Length-Hint;");
}

std::vector<std::string> partsOf(const std::string &list)
{
    const RelayHead head =
        relayDialect().m_readRequestHead({ "POST", "/a", { { "X-Prompt-Prefix", list } }, "body" });
    EXPECT_EQ(findHeader(head.m_forwardedHeaders, "X-Prompt-Prefix"), list);
    std::vector<std::string> parts;
    for (const PromptPartId &part : head.m_promptParts)
        parts.push_back(part.str());
    return parts;
}

TEST(RequestCodecTest, ReadsThePartsOfAPromptButTheLast)
{
    EXPECT_EQ(partsOf("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
              (std::vector<std::string>{ "5c1e07a2", "91bd3f06" }));
    EXPECT_TRUE(partsOf("5c1e07a2:800").empty());
}

TEST(RequestCodecTest, MalformedListOfPartsIsPassedOnAndNamesNone)
{
    std::string tooMany = "1:1";
    for (int i = 0; i < 300; ++i)
        tooMany += ",1:1";
    for (const std::string &list :
         { std::string("a1:1,b2,c3:1"), std::string("a1:1,:5,c3:1"), std::string("a1:x,b2:1"),
           std::string("a1:1,,b2:1"), std::string("zz:1,b2:1"), std::string(","),
           std::string(100, 'a') + ":1,b2:1", tooMany })
        EXPECT_TRUE(partsOf(list).empty()) << list;
}

TEST(RequestCodecTest, WritesAnAttempt)
{
    RelayHead request;
    request.m_forwardedHeaders = { { "X-Model", "m" } };
    AttemptHead attempt;
    attempt.m_endpoint = EndpointId("i-1");
    attempt.m_remaining = Millis(700);
    attempt.m_customer = CustomerId("one");
    attempt.m_helpers = { { "10.2.64.3:8080", "t81" }, { "10.2.64.5:8080", "" } };
    attempt.m_lastEvent = 4;
    attempt.m_urgency = 2;
    const HttpHeaders headers = relayDialect().m_writeAttemptHeaders(request, attempt);
    EXPECT_EQ(findHeader(headers, "X-Helpers"), "10.2.64.3:8080/t81,10.2.64.5:8080");
    EXPECT_EQ(findHeader(headers, "X-Deadline-Ms"), "700");
    EXPECT_EQ(findHeader(headers, "X-Expect-Instance"), "i-1");
    EXPECT_EQ(findHeader(headers, "X-Tenant"), "one");
    EXPECT_EQ(findHeader(headers, "Last-Event-Id"), "4");
    EXPECT_EQ(findHeader(headers, "X-Request-Urgency"), "2");
    EXPECT_EQ(findHeader(headers, "X-Model"), "m");
}

TEST(RequestCodecTest, ForwardsAClientsHeadWithWhatIsLeft)
{
    const HttpRequest request{ "POST",
                               "/a/b",
                               { { "Host", "h.example" },
                                 { "X-Request-Id", "r1" },
                                 { "Api-Key", "k" },
                                 { "X-Deadline-Ms", "9000" },
                                 { "Last-Event-Id", "3" },
                                 { "X-Stackquay-Attempts", "9" },
                                 { "Connection", "keep-alive" } },
                               "body" };
    const HttpHeaders headers =
        relayDialect().m_writeForwardHeaders(request, { Millis(700), 2, 5 });
    const RelayHead head = relayDialect().m_readRequestHead({ "POST", "/a/b", headers, "body" });
    EXPECT_EQ(head.m_id.str(), "r1");
    EXPECT_EQ(head.m_key, "k");
    EXPECT_EQ(head.m_deadline, Millis(700));
    EXPECT_EQ(head.m_lastEvent, 5u);
    EXPECT_EQ(head.m_attemptsLeft, 2u);
    EXPECT_EQ(findHeader(headers, "Connection"), "");
    // Endpoints get none of it.
    EXPECT_EQ(findHeader(head.m_forwardedHeaders, "X-Stackquay-Attempts"), "");
}

TEST(RequestCodecTest, ReadsTheLimitThatAnAnswerNames)
{
    const auto limitOf = [](const char *text) {
        return relayDialect()
            .m_readResponseHead({ 200, { { "Server-Limit", text } }, "" })
            .m_requestLimit;
    };
    EXPECT_EQ(limitOf("1.6"), 1.6);
    EXPECT_EQ(limitOf("0"), 0);
    for (const char *text : { "", "-1", "nan", "inf", "1.6 a second", "1e999" })
        EXPECT_FALSE(limitOf(text)) << text;
    EXPECT_FALSE(relayDialect().m_readResponseHead({ 200, {}, "" }).m_requestLimit);
}

TEST(RequestCodecTest, ReadsForHowLongARefusalWantsNoRequests)
{
    const auto read = [](unsigned status, const std::string &text) {
        return relayDialect()
            .m_readResponseHead({ status, { { "Retry-After", text } }, "" })
            .m_retryAfter;
    };
    EXPECT_EQ(read(503, "1.5"), Millis(1'500));
    EXPECT_EQ(read(503, "0.0001"), Millis(1));
    EXPECT_EQ(read(503, "1e300"), Millis(86'400'000));
    EXPECT_FALSE(read(200, "1.5"));
    for (const char *text : { "", "0", "-1", "soon", "1 2", "nan", "inf", "1e400" })
        EXPECT_FALSE(read(503, text)) << text;
}

TEST(RequestCodecTest, ReadsWhetherAnEndpointIsLeaving)
{
    const auto read = [](const HttpHeaders &headers) {
        return relayDialect().m_readResponseHead({ 200, headers, "" }).m_leaving;
    };
    EXPECT_TRUE(read({ { "server-leaving", "1" } }));
    EXPECT_FALSE(read({ { "Server-Leaving", "0" } }));
    EXPECT_FALSE(read({}));
}

TEST(RequestCodecTest, TellsWhatAnAnswerSays)
{
    const auto read = relayDialect().m_readResponseHead;
    EXPECT_TRUE(read({ 503, { { "X-Not-Executed", "1" } }, "" }).m_notRun);
    EXPECT_FALSE(read({ 503, {}, "" }).m_notRun);
    EXPECT_TRUE(read({ 421, {}, "" }).m_notRun);
    EXPECT_TRUE(read({ 421, {}, "" }).m_misdirected);
    const ResponseHead whole = read({ 200,
                                      { { "X-Request-Id", "r" },
                                        { "X-Response-Seal", "s" },
                                        { "Keep-Alive", "timeout=5" },
                                        { "Content-Length", "3" } },
                                      "" });
    EXPECT_TRUE(whole.m_signed);
    EXPECT_EQ(whole.m_id.str(), "r");
    EXPECT_EQ(whole.m_forwardedHeaders.size(), 2u);
    EXPECT_TRUE(read({ 200, { { "Content-Encoding", "gzip" } }, "" }).m_encoded);
}

TEST(ConfigCodecTest, DecodesRoutesServicesAndKeys)
{
    const auto table = relaySource().m_decodeRoutes(
        R"({"version":7,"routes":[
            {"name":"r","host":"h","pathPrefix":"/p/","kind":"stream","timeoutMs":10000,
             "aimMs":300,"priority":1,"backends":[{"service":"a","weight":90},{"service":"b","weight":10}],
             "maxAttempts":2,"public":false,"resumable":true,"gapAimMs":250}],
            "services":[{"name":"a","maxConns":264,"engine":{"slots":16,"kvCapacity":232000,
             "stride":43,"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,
             "read_per_s":206000.0,"pairs_per_m":0.138,"usual":{"prompt":12331,"answer":1303},
             "hopMs":0.075}},{"name":"b","maxConns":96}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
             "idleTimeoutMs":15000},
            "tenants":[{"name":"one","apiKeys":["k1","k2"],"priority":3}]})");
    ASSERT_TRUE(table);
    EXPECT_EQ(table->m_version, 7u);
    const Route *route = findRoute(*table, "h", "/p/1");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->m_kind, RouteKind::Stream);
    EXPECT_EQ(route->m_gapLimit, Millis(250));
    EXPECT_TRUE(route->m_resumable);
    EXPECT_EQ(route->m_services.size(), 2u);
    const DeclaredService &engine = table->m_services.at(ServiceId("a"));
    ASSERT_TRUE(engine.m_engine);
    EXPECT_EQ(engine.m_engine->m_memoryTokens, 232'000u);
    EXPECT_EQ(engine.m_engine->m_usualAnswerTokens, 1'303u);
    EXPECT_FALSE(table->m_services.at(ServiceId("b")).m_engine);
    EXPECT_EQ(table->m_keys.at("k2").m_customer.str(), "one");
    EXPECT_EQ(table->m_keys.at("k2").m_priority, 3u);
    EXPECT_EQ(table->m_limits.m_idleTimeout, Millis(15'000));
}

// Guards against requests that are given up while their clients still wait, or kept after that.
TEST(ConfigCodecTest, ClientsLeaveAfterTheLongestOfTheStatedSilences)
{
    const auto patience = [](int aimMs, int gapAimMs) {
        const auto table = relaySource().m_decodeRoutes(fmt::format(
            R"({{"version":7,"routes":[{{"name":"r","host":"h","pathPrefix":"/p/","kind":"stream",
                 "service":"a","aimMs":{},"gapAimMs":{}}}],"services":[{{"name":"a"}}]}})",
            aimMs, gapAimMs));
        return table ? table->m_routes.front().m_clientPatience : Millis(0);
    };
    EXPECT_EQ(patience(300, 0), Seconds(2));
    EXPECT_EQ(patience(300, 250), Seconds(2));
    EXPECT_EQ(patience(1'500, 600), Seconds(6));
    EXPECT_EQ(patience(500, 1'000), Seconds(8));
}

TEST(ConfigCodecTest, RefusesWhatHasNoVersionOrAnIncompleteRoute)
{
    EXPECT_FALSE(relaySource().m_decodeRoutes(R"({"routes":[]})"));
    EXPECT_FALSE(relaySource().m_decodeRoutes(R"({"version":1,"routes":[{"host":"h"}]})"));
    EXPECT_FALSE(relaySource().m_decodeRoutes("null"));
}

// A kind of route that is not known may be repeated as little as any.
TEST(ConfigCodecTest, UnknownKindIsNeverRepeated)
{
    const auto table = relaySource().m_decodeRoutes(
        R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"new","service":"a"}]})");
    ASSERT_TRUE(table);
    EXPECT_FALSE(table->m_routes[0].repeatable());
}

TEST(ObjectCodecTest, WritesCallsAndReadsPagesAndEvents)
{
    const KindCodec &dialect = kindDialect();
    EXPECT_EQ(dialect.m_list("servers", "", false).m_target, "/objects/servers");
    EXPECT_EQ(dialect.m_list("servers", "i-7", true).m_target,
              "/objects/servers?sinceRev=i-7&staleOk=1");
    EXPECT_EQ(dialect.m_watch("servers", 530, Millis(20'000)).m_target,
              "/objects/servers?watch=530&waitMs=20000");
    EXPECT_EQ(dialect.m_remove("k", { "n", { 1, 5 }, "" }).m_target, "/objects/k/n?revision=5");
    EXPECT_NE(dialect.m_replace("k", { "n", { 1, 5 }, "{}" }).m_body.find("\"revision\":5"),
              std::string::npos);
    const auto page = dialect.m_readPage(
        R"({"items":[{"metadata":{"name":"n","revision":4},"spec":{"a":1}}],"morePages":true,"currentRev":9})");
    ASSERT_TRUE(page);
    EXPECT_TRUE(page->m_hasMore);
    EXPECT_EQ(page->m_position.m_revision, 9u);
    EXPECT_EQ(page->m_objects.at(0).m_spec, "{\"a\":1}");
    const auto events = dialect.m_readEvents(
        R"({"events":[{"removed":true,"object":{"metadata":{"name":"n"},"spec":null}}],"currentRev":10})");
    ASSERT_TRUE(events);
    EXPECT_TRUE(events->m_events.at(0).m_removed);
    EXPECT_FALSE(dialect.m_readEvents(R"({"events":[]})"));
    EXPECT_FALSE(dialect.m_readPage("oops"));
}

constexpr const char *Entry =
    R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready",)"
    R"("coldLeftMs":0,"seq":1,"born":1764700000000})";

Result<EndpointRecord> decodeEntry(const std::string &spec)
{
    return relaySource().m_decodeEndpoint({ "i-1", { 1, 1 }, spec });
}

/// Entry with @p value in place of that of @p field; an empty one takes the field out.
std::string entryWith(const std::string &field, const std::string &value)
{
    auto entry = nlohmann::json::parse(Entry);
    if (value.empty())
        entry.erase(field);
    else
        entry[field] = nlohmann::json::parse(value);
    return entry.dump();
}

TEST(EndpointCodecTest, ReadsAnEntryWithItsStart)
{
    const auto endpoint = decodeEntry(Entry);
    ASSERT_TRUE(endpoint);
    EXPECT_EQ(endpoint->m_service.str(), "a");
    EXPECT_EQ(endpoint->m_slots, 4u);
    EXPECT_FALSE(endpoint->m_draining);
    EXPECT_EQ(endpoint->m_startedMs, 1'764'700'000'000u);
    EXPECT_EQ(decodeEntry(entryWith("born", ""))->m_startedMs, 0u);
    EXPECT_TRUE(decodeEntry(entryWith("state", R"("draining")"))->m_draining);
}

// Entries may come from other writers: what is not whole names no endpoint.
TEST(EndpointCodecTest, EntryThatIsNotWholeNamesNoEndpoint)
{
    for (const char *field :
         { "service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seq" }) {
        SCOPED_TRACE(field);
        EXPECT_FALSE(decodeEntry(entryWith(field, "")));
        for (const char *value : { "null", "true", "[]", "{}" })
            EXPECT_FALSE(decodeEntry(entryWith(field, value))) << value;
    }
    for (const char *field : { "service", "address", "zone", "version", "state" })
        EXPECT_FALSE(decodeEntry(entryWith(field, "7"))) << field;
    for (const char *field : { "slots", "coldLeftMs", "seq", "born" })
        EXPECT_FALSE(decodeEntry(entryWith(field, R"("7")"))) << field;
    EXPECT_FALSE(decodeEntry(entryWith("slots", "0")));
    EXPECT_FALSE(decodeEntry(entryWith("born", "1.5")));
    EXPECT_FALSE(decodeEntry(entryWith("state", R"("warming")")));
    EXPECT_FALSE(decodeEntry(entryWith("address", R"("nowhere")")));
    for (const char *spec : { "null", "7", R"("torn {")", "[1]", "{\"service\":\"a" })
        EXPECT_FALSE(decodeEntry(spec)) << spec;
}

// One object that cannot be read takes nothing from the others of a list.
TEST(ObjectCodecTest, ListHoldsWhatCanBeRead)
{
    const auto page =
        kindDialect().m_readPage(R"({"items":[7,{"spec":{}},{"metadata":{"name":"n"},"spec":")"
                                 "\xff\xfe"
                                 R"("},{"metadata":{"name":"m"},"spec":{"a":1}}],"currentRev":9})");
    ASSERT_TRUE(page);
    ASSERT_EQ(page->m_objects.size(), 2u);
    EXPECT_EQ(page->m_objects[1].m_spec, "{\"a\":1}");
    const auto events = kindDialect().m_readEvents(
        R"({"events":[{},{"object":{"spec":1}},{"object":{"metadata":{"name":"n"}}}],"currentRev":9})");
    ASSERT_TRUE(events);
    EXPECT_EQ(events->m_events.size(), 1u);
}

/// Runs @p function on a fiber, whose stack is small.
void runOnFiber(const std::function<void()> &function)
{
    FiberThread thread("codec");
    thread.start();
    std::promise<void> done;
    thread.post([&] {
        function();
        done.set_value();
    });
    done.get_future().get();
}

std::string listOf(const std::string &spec)
{
    return R"({"items":[{"metadata":{"name":"other","revision":4},"spec":)" + spec
           + R"(},{"metadata":{"name":"i-1","revision":5},"spec":)" + Entry
           + R"(}],"currentRev":9})";
}

std::string nestedEntry(size_t levels)
{
    return R"({"service":"a","state":"ready","models":)" + std::string(levels, '[')
           + std::string(levels, ']') + "}";
}

// An entry of another writer that is nested deeply ended the process: its spec was written back to
// text level by level on the stack of a fiber.
TEST(ObjectCodecTest, DeeplyNestedEntryDoesNotOverflowTheStack)
{
    runOnFiber([] {
        for (const size_t levels : { 100u, 20'000u, 250'000u }) {
            const std::string spec = nestedEntry(levels);
            const auto page = kindDialect().m_readPage(listOf(spec));
            ASSERT_TRUE(page);
            ASSERT_EQ(page->m_objects.size(), 2u);
            EXPECT_EQ(page->m_objects[0].m_spec, spec);
            EXPECT_FALSE(relaySource().m_decodeEndpoint(page->m_objects[0]));
            EXPECT_TRUE(relaySource().m_decodeEndpoint(page->m_objects[1]));
            const auto object =
                kindDialect().m_readObject(R"({"metadata":{"name":"n"},"spec":)" + spec + "}");
            ASSERT_TRUE(object);
            EXPECT_FALSE(relaySource().m_decodeRoutes(object->m_spec));
            EXPECT_FALSE(kindDialect().m_replace("k", *object).m_body.empty());
        }
    });
}

/// The value of a field that another writer may leave in an entry. Keeps the nesting of @p text
/// around it whole, as the store does.
std::string drawValue(RandomEngine &random)
{
    static const std::vector<std::string> values = {
        R"("\ud83d")",
        R"("\u0000")",
        "1e999",
        "-0",
        "-1e-999",
        "1" + std::string(400, '0'),
        "\"\xff\xfe\"",
        "\"\xc3\"",
        std::string("\"\0\"", 3),
        "\"\n\"",
        R"("\\")",
        R"("\"]}")",
        "nul",
        R"({"a":1,"a":2})",
        R"({"":{}})",
        "[1,2",
        "01",
        "\"" + std::string(20'000, 'x') + "\"",
    };
    std::string value = values[random() % values.size()];
    if (std::count(value.begin(), value.end(), '[') > std::count(value.begin(), value.end(), ']'))
        value += "]";
    const size_t levels = random() % 3 == 0 ? random() % 30'000 : 0;
    return std::string(levels, '[') + value + std::string(levels, ']');
}

// One changed entry of a list takes nothing from the others, which are read byte for byte.
TEST(CodecFuzzTest, EntryOfAnotherWriterAffectsNoOther)
{
    const char *wanted = std::getenv("STACKQUAY_FUZZ_INPUTS");
    const int inputs = wanted ? std::atoi(wanted) : 500;
    runOnFiber([inputs] {
        RandomEngine random(20261204);
        constexpr size_t Entries = 12;
        for (int i = 0; i < inputs; ++i) {
            const size_t bad = random() % Entries;
            std::string body = R"({"items":[)";
            std::string events = R"({"events":[)";
            const std::string sound = entryWith("service", R"("caf\u00e9 ü")");
            for (size_t n = 0; n < Entries; ++n) {
                std::string spec = sound;
                if (n == bad)
                    spec.insert(1, "\"field\":" + drawValue(random) + ",");
                const std::string object = fmt::format(
                    R"({{"metadata":{{"name":"i-{}","revision":{}}},"spec":{},"status":{}}})", n,
                    n + 1, spec, n == bad ? drawValue(random) : "null");
                body += (n > 0 ? "," : "") + object;
                events += (n > 0 ? "," : "") + (R"({"removed":false,"object":)" + object) + "}";
            }
            const auto page = kindDialect().m_readPage(body + R"(],"currentRev":9})");
            const auto changes = kindDialect().m_readEvents(events + R"(],"currentRev":9})");
            ASSERT_TRUE(page && changes) << body.substr(0, 2'000);
            ASSERT_EQ(page->m_objects.size(), Entries);
            ASSERT_EQ(changes->m_events.size(), Entries);
            for (size_t n = 0; n < Entries; ++n) {
                const KindObject &object = page->m_objects[n];
                const auto endpoint = relaySource().m_decodeEndpoint(object);
                EXPECT_EQ(object.m_spec, changes->m_events[n].m_object.m_spec);
                if (n == bad)
                    continue;
                EXPECT_EQ(object.m_spec, sound);
                ASSERT_TRUE(endpoint);
                EXPECT_EQ(endpoint->m_service.str(), "café ü");
            }
        }
    });
}

/// Changes some bytes of @p text: drops, doubles or replaces them.
std::string spoil(std::string text, RandomEngine &random)
{
    const auto changes = 1 + random() % 6;
    for (uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const size_t at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text.erase(at, 1 + random() % 8);
            break;
        case 1:
            text.insert(at, text.substr(at, 1 + random() % 8));
            break;
        case 2:
            text[at] = static_cast<char>(random() % 256);
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

// Seeded; STACKQUAY_FUZZ_INPUTS raises the count by hand.
TEST(CodecFuzzTest, MalformedInputIsAnErrorAndNeverACrash)
{
    const char *wanted = std::getenv("STACKQUAY_FUZZ_INPUTS");
    const int inputs = wanted ? std::atoi(wanted) : 4'000;
    RandomEngine random(20261202);
    const std::string routes =
        R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","service":"a",)"
        R"("timeoutMs":100}],"services":[{"name":"a","engine":{"slots":4}}],"tenants":[{"apiKeys":["k"]}]})";
    const std::string page =
        R"({"items":[{"metadata":{"name":"n","revision":4},"spec":{"a":1}}],"currentRev":9})";
    const Heartbeat beat;
    int refused = 0;
    for (int i = 0; i < inputs; ++i) {
        refused += !decodeSettings(spoil(Settings, random));
        refused += !relaySource().m_decodeRoutes(spoil(routes, random));
        refused += !kindDialect().m_readPage(spoil(page, random));
        refused += !kindDialect().m_readEvents(spoil(page, random));
        refused += !relaySource().m_decodeEndpoint({ "n", { 1, 1 }, spoil(Entry, random) });
        refused += !decodeMessage<Heartbeat>(spoil(encodeMessage(beat), random));
        refused += !decodeMessage<LoadMessage>(spoil(encodeMessage(LoadMessage{}), random));
        relayDialect().m_readRequestHead({ "GET",
                                           "/",
                                           { { "X-Token-Counts", spoil("1460,80", random) },
                                             { "X-Deadline-Ms", spoil("1500", random) },
                                             { "Connection", spoil("a, b", random) } },
                                           "" });
        EventSplitter splitter;
        splitter.feed(spoil("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", random));
        while (splitter.next()) { }
    }
    EXPECT_GT(refused, inputs);
}

} // namespace
} // namespace stackquay::platform
