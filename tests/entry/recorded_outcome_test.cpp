// Recorded outcomes whose fields are of another type, as another writer may leave them.

#include <gtest/gtest.h>

#include "entry/entry.h"
#include "entry/recorded_outcome.h"

namespace stackquay {
namespace {

TEST(RecordedOutcomeTest, FieldOfAnotherTypeMakesTheOutcomeUnknown)
{
    for (const char *text :
         { R"({"status":"200","size":1,"body":"YQ==","headers":[]})",
           R"({"status":0,"size":1,"body":"YQ==","headers":[]})",
           R"({"status":18446744073709551616,"size":1,"body":"YQ==","headers":[]})",
           R"({"status":200,"size":"1","body":"YQ==","headers":[]})",
           R"({"status":200,"size":-1,"body":"YQ==","headers":[]})",
           R"({"status":200,"size":1,"body":7,"headers":[]})", R"({"status":200})", R"([])" }) {
        const auto outcome = decodeRecordedOutcome(text);
        ASSERT_FALSE(outcome) << text;
        EXPECT_EQ(outcome.error().m_error, RequestError::OutcomeUnknown) << text;
    }
}

TEST(RecordedOutcomeTest, HeadersOfAnotherTypeAreLeftOut)
{
    for (const char *headers : { "7", R"([7,["a"],["a",7,1],["a","YQ==","1"]])" }) {
        const auto outcome = decodeRecordedOutcome(
            R"({"status":200,"size":1,"body":"YQ==","headers":)" + std::string(headers) + "}");
        ASSERT_TRUE(outcome) << headers;
        EXPECT_EQ(outcome->m_body, "a");
        EXPECT_TRUE(outcome->m_headers.empty()) << headers;
    }
}

} // namespace
} // namespace stackquay
