#include <gtest/gtest.h>

#include "endpoint/endpoint.h"

namespace stackquay {
namespace {

TEST(SseReaderTest, ReassemblesEventsSplitAtAnyByte)
{
    const std::string text = "data: one\n\n: comment\n\ndata:two\n\n";
    for (size_t cut = 0; cut <= text.size(); ++cut) {
        SseReader reader;
        std::vector<std::string> events;
        for (const std::string &bytes : { text.substr(0, cut), text.substr(cut) }) {
            reader.feed(bytes);
            while (const auto event = reader.next())
                events.emplace_back(*event);
        }
        EXPECT_EQ(events, (std::vector<std::string>{ "one", "two" })) << cut;
    }
}

TEST(SseReaderTest, IncompleteEventIsNotReady)
{
    SseReader reader;
    reader.feed("data: x\n");
    EXPECT_FALSE(reader.ready());
    EXPECT_FALSE(reader.next());
    reader.feed("\n");
    EXPECT_TRUE(reader.ready());
    EXPECT_EQ(reader.next(), "x");
    EXPECT_EQ(reader.pending(), 0u);
}

TEST(EngineFrameTest, ParsesEachKind)
{
    const AttemptId attempt("a1");
    const auto token = parseEngineFrame(R"({"attempt":"a1","index":3,"text":"hi","n":2})", attempt);
    ASSERT_TRUE(token);
    EXPECT_EQ(std::get<TokenFrame>(*token).m_index, 3u);
    EXPECT_EQ(std::get<TokenFrame>(*token).m_count, 2u);
    const auto prefill = parseEngineFrame(R"({"attempt":"a1","prefilled":9,"cached":4})", attempt);
    ASSERT_TRUE(prefill);
    EXPECT_EQ(std::get<PrefillFrame>(*prefill).m_prefilled, 9u);
    const auto final = parseEngineFrame(
        R"({"attempt":"a1","index":5,"done":true,"tokens":5,"cached":1,"finish":"stop"})", attempt);
    ASSERT_TRUE(final);
    EXPECT_EQ(std::get<FinalFrame>(*final).m_finish, "stop");
}

TEST(EngineFrameTest, RejectsMalformedFramesAndThoseOfOtherAttempts)
{
    const AttemptId attempt("a1");
    for (const char *json : { "", "[]", "{", R"({"index":0,"text":"x","n":1})",
                              R"({"attempt":"a2","index":0,"text":"x","n":1})",
                              R"({"attempt":"a1","index":0,"text":"x"})",
                              R"({"attempt":1,"index":0,"text":"x","n":1})" }) {
        const auto frame = parseEngineFrame(json, attempt);
        ASSERT_FALSE(frame) << json;
        EXPECT_EQ(frame.error().m_code, ErrorCode::ProtocolError);
    }
}

} // namespace
} // namespace stackquay
