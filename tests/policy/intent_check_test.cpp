#include <functional>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

Intent smallIntent()
{
    Intent intent;
    intent.m_regions.push_back({ RegionId("r") });
    intent.m_dataCentres.push_back({ DataCentreId("d"), RegionId("r"), {} });
    Model model;
    model.m_id = ModelId("m");
    model.m_version = "1";
    model.m_replicas = { { DataCentreId("d"), 1 } };
    intent.m_models.push_back(model);
    intent.m_services.push_back({ ServiceId("s") });
    Endpoint engine;
    engine.m_id = EndpointId("e");
    engine.m_address = "127.0.0.1:1";
    engine.m_dataCentre = DataCentreId("d");
    engine.m_models = { ModelId("m") };
    intent.m_endpoints.push_back(engine);
    Customer customer;
    customer.m_id = CustomerId("c");
    customer.m_keyHashes = { hashKey("k") };
    customer.m_tokensPerSecond = 100;
    customer.m_concurrency = 4;
    customer.m_guarantees = { { DataCentreId("d"), 60, 2 } };
    intent.m_customers.push_back(customer);
    intent.m_objectives.push_back({ "o", CustomerId("c"), ModelId("m"), {} });
    intent.m_operators.push_back({ "p", hashKey("x"), OperatorRole::Change });
    return intent;
}

struct Fault {
    const char *m_name;
    std::function<void(Intent &)> m_apply;
    std::string m_problem;
};

// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest requires this name.
void PrintTo(const Fault &fault, std::ostream *out)
{
    *out << fault.m_name;
}

class IntentFault : public testing::TestWithParam<Fault>
{ };

TEST(IntentCheck, acceptsAValidIntent)
{
    EXPECT_EQ(checkIntent(smallIntent()), std::vector<IntentProblem>());
}

TEST_P(IntentFault, isReportedWithFoundAndAllowedValues)
{
    Intent intent = smallIntent();
    GetParam().m_apply(intent);
    std::vector<std::string> problems;
    for (const IntentProblem &problem : checkIntent(intent))
        problems.push_back(toString(problem));
    EXPECT_EQ(problems, std::vector<std::string>{ GetParam().m_problem });
}

const Fault Faults[] = {
    { "region", [](Intent &i) { i.m_dataCentres[0].m_region = RegionId("x"); },
      "data_centre d, region: found \"x\", allowed r." },
    { "relay", [](Intent &i) { i.m_dataCentres[0].m_relays = { "host:1" }; },
      "data_centre d, relays: found \"host:1\", allowed a.b.c.d:port, port 1 to 65535." },
    { "replicas", [](Intent &i) { i.m_models[0].m_replicas[0].m_count = 2; },
      "model m, replicas: found 2 in d, allowed up to 1, its engines there." },
    { "version",
      [](Intent &i) {
          i.m_models[0].m_versions = { "2", "3" };
      },
      "model m, version: found \"1\", allowed 2, 3." },
    { "span", [](Intent &i) { i.m_models[0].m_maxSpan = 0; },
      "model m, max_span: found 0, allowed 1 to 64." },
    { "retention", [](Intent &i) { i.m_services[0].m_retention = std::chrono::hours(0); },
      "service s, retention_hours: found 0, allowed at least 1." },
    { "address", [](Intent &i) { i.m_endpoints[0].m_address = "127.0.0.1:0"; },
      "endpoint e, address: found \"127.0.0.1:0\", allowed a.b.c.d:port, port 1 to 65535." },
    { "model", [](Intent &i) { i.m_endpoints[0].m_models.push_back(ModelId("n")); },
      "endpoint e, models: found \"n\", allowed m." },
    { "engineWithService", [](Intent &i) { i.m_endpoints[0].m_service = ServiceId("s"); },
      "endpoint e, service: found s, allowed none for an engine." },
    { "limitBelowGuarantees", [](Intent &i) { i.m_customers[0].m_tokensPerSecond = 50; },
      "customer c, tokens_per_second: found 50, allowed at least 60, the sum of its guarantees." },
    { "concurrency", [](Intent &i) { i.m_customers[0].m_concurrency = 1; },
      "customer c, concurrency: found 1, allowed at least 2, the sum of its guarantees." },
    { "share", [](Intent &i) { i.m_customers[0].m_share = 0; },
      "customer c, share: found 0, allowed more than 0." },
    { "keyTwice", [](Intent &i) { i.m_operators[0].m_keyHash = hashKey("k"); },
      "operator p, key_hash: found " + hashKey("k").substr(0, 8)
          + "..., allowed one that is not used already by customer c." },
    { "keyInClear", [](Intent &i) { i.m_customers[0].m_keyHashes = { "k" }; },
      "customer c, key_hashes: found \"k\", allowed SHA-256 in 64 hex digits." },
    { "target", [](Intent &i) { i.m_objectives[0].m_target = 1; },
      "objective o, target: found 1, allowed more than 0 and less than 1." },
    { "twice", [](Intent &i) { i.m_services.push_back(i.m_services[0]); },
      "service s, name: found the name twice, allowed each name once." },
    { "name", [](Intent &i) { i.m_services[0].m_id = ServiceId("a b"); },
      "service a b, name: found \"a b\", allowed 1 to 64 of letters, digits, '.', '_' and '-'." },
    { "budget", [](Intent &i) { i.m_weightLoadsAtOnce = 0; },
      "intent, weight_loads_at_once: found 0, allowed 1 to 1000." },
};

INSTANTIATE_TEST_SUITE_P(Faults, IntentFault, testing::ValuesIn(Faults),
                         [](const auto &info) { return std::string(info.param.m_name); });

} // namespace
} // namespace stackquay
