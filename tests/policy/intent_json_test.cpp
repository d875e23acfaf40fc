#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(STACKQUAY_SOURCE_DIR) + "/examples/" + name + "/intent.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Intent exampleIntent(const std::string &name)
{
    const Result<Intent> intent = decodeIntent(readExample(name));
    EXPECT_TRUE(intent) << intent.error().m_message;
    return intent.value_or(Intent());
}

class Example : public testing::TestWithParam<std::string>
{ };

TEST_P(Example, isValidAndSurvivesARoundTrip)
{
    const Intent intent = exampleIntent(GetParam());
    EXPECT_EQ(checkIntent(intent), std::vector<IntentProblem>());
    EXPECT_EQ(intent.m_dataCentres.size(), 3u);
    EXPECT_EQ(intent.m_endpoints.size(), 23u);
    EXPECT_EQ(intent.m_customers.size(), 10u);
    const Result<Intent> again = decodeIntent(encodeIntent(intent));
    ASSERT_TRUE(again);
    EXPECT_EQ(*again, intent);
}

INSTANTIATE_TEST_SUITE_P(Deployments, Example, testing::Values("carrick", "kursnetz"));

TEST(IntentJson, keepsEveryField)
{
    Intent intent;
    intent.m_revision = std::numeric_limits<uint64_t>::max();
    intent.m_regions.push_back({ RegionId("r") });
    intent.m_dataCentres.push_back({ DataCentreId("d"), RegionId("r"), { "10.0.0.1:1" } });
    intent.m_models.push_back({ ModelId("m"),
                                "2",
                                { "1", "2" },
                                { "a" },
                                1ull << 60,
                                7,
                                3,
                                RoutingObjective::TtftByLength,
                                { { DataCentreId("d"), 4 } } });
    intent.m_services.push_back({ ServiceId("s"), false, std::chrono::hours(5) });
    intent.m_endpoints.push_back({ EndpointId("e"),
                                   EndpointKind::Service,
                                   "10.0.0.2:9",
                                   DataCentreId("d"),
                                   {},
                                   ServiceId("s"),
                                   true,
                                   true });
    intent.m_customers.push_back({ CustomerId("c"),
                                   { hashKey("k") },
                                   0.1,
                                   2,
                                   1.5,
                                   -3,
                                   { { DataCentreId("d"), 1.0 / 3, 1 } } });
    intent.m_objectives.push_back(
        { "o", CustomerId("c"), ModelId("m"), LengthClass::VeryLong, Millis(9), 0.9 });
    intent.m_operators.push_back({ "p", hashKey("x"), OperatorRole::Change });
    intent.m_weightLoadsAtOnce = 11;
    const Result<Intent> again = decodeIntent(encodeIntent(intent));
    ASSERT_TRUE(again) << again.error().m_message;
    EXPECT_EQ(*again, intent);
}

std::string errorOf(std::string_view text)
{
    const Result<Intent> intent = decodeIntent(text);
    return intent ? "accepted" : intent.error().m_message;
}

TEST(IntentJson, namesThePathOfAnInvalidField)
{
    EXPECT_EQ(errorOf(R"({"models":[{"name":"m","replicas":[{"data_centre":"d","count":-1}]}]})"),
              "models[m].replicas[d].count: found -1, allowed a whole number from 0 to 4294967295");
    EXPECT_EQ(errorOf(R"({"operators":[{"name":"p","role":"root"}]})"),
              "operators[p].role: found \"root\", allowed read or change");
    EXPECT_EQ(errorOf(R"({"objectives":[{"name":"o","length_class":"huge"}]})"),
              "objectives[o].length_class: found \"huge\", allowed short or medium or long or "
              "very-long");
    EXPECT_EQ(errorOf(R"({"regions":[{"name":5}]})"), "regions[0].name: found 5, allowed a string");
    EXPECT_EQ(errorOf(R"([])"), "intent: found [], allowed an object");
    EXPECT_EQ(errorOf(R"({"regions":[{"nam":"x"}]})"),
              "regions[0].nam: found \"x\", allowed only the fields name");
    EXPECT_EQ(errorOf("{\n \"models\": oops}"), "Invalid JSON at line 2, column 12.");
}

TEST(IntentJson, mayIgnoreFieldsOfANewerVersion)
{
    const char *newer = R"({"revision":3,"colour":"red"})";
    EXPECT_FALSE(decodeIntent(newer));
    const Result<Intent> intent = decodeIntent(newer, UnknownFields::Ignore);
    ASSERT_TRUE(intent);
    EXPECT_EQ(intent->m_revision, 3u);
}

} // namespace
} // namespace stackquay
