#include <gtest/gtest.h>

#include "load/load.h"

namespace stackquay {
namespace {

std::string tokenFrame(int index, int count, std::string_view text = "ab")
{
    return "data: {\"choices\":[{\"index\":0,\"text\":\"" + std::string(text)
           + "\",\"finish_reason\":null}],\"stackquay\":{\"index\":" + std::to_string(index)
           + ",\"n\":" + std::to_string(count) + "}}\n\n";
}

std::string finalFrame(int tokens, std::string_view reason = "length", int promptTokens = 10)
{
    return "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\""
           + std::string(reason)
           + "\"}],\"usage\":{\"prompt_tokens\":" + std::to_string(promptTokens)
           + ",\"completion_tokens\":" + std::to_string(tokens) + ",\"cached_tokens\":3}}\n\n";
}

const std::string Done = "data: [DONE]\n\n";

AnswerCheck checked(const std::string &body, size_t pieceBytes = 1'000'000)
{
    ExpectedAnswer expected;
    expected.m_promptTokens = 10;
    expected.m_maxTokens = 4;
    AnswerCheck check(expected);
    for (size_t at = 0; at < body.size(); at += pieceBytes)
        check.feed(std::string_view(body).substr(at, pieceBytes));
    return check;
}

TEST(AnswerCheckTest, WholeAnswerHoweverItIsCut)
{
    const std::string body = tokenFrame(0, 3) + tokenFrame(3, 1, "c") + finalFrame(4) + Done;
    for (const size_t pieceBytes : { 1u, 7u, 1'000'000u }) {
        const AnswerCheck check = checked(body, pieceBytes);
        EXPECT_EQ(check.state(), AnswerState::Whole) << check.problem();
        EXPECT_EQ(check.tokens(), 4u);
        EXPECT_EQ(check.cachedTokens(), 3u);
        EXPECT_EQ(check.textHash(), stableHash("abc"));
    }
}

TEST(AnswerCheckTest, FindsEveryFault)
{
    const std::string start = tokenFrame(0, 3);
    const std::vector<std::string> wrong{
        tokenFrame(1, 1), // Does not start at 0.
        start + tokenFrame(2, 1), // Overlaps.
        start + tokenFrame(4, 1), // Gap.
        start + tokenFrame(3, 2), // Too many.
        start + finalFrame(4), // Wrong count.
        start + finalFrame(3), // "length" before the length.
        start + finalFrame(3, ""), // No reason.
        start + finalFrame(3, "stop", 9), // Another prompt.
        start + finalFrame(3, "stop") + tokenFrame(3, 1), // Goes on after the end.
        start + Done, // No final frame.
        "data: nonsense\n\n",
    };
    for (const std::string &body : wrong)
        EXPECT_EQ(checked(body).state(), AnswerState::Wrong) << body;
    EXPECT_EQ(checked(start).state(), AnswerState::Open);
    EXPECT_EQ(checked(start + finalFrame(3, "stop")).state(), AnswerState::Open);
    EXPECT_EQ(checked(start + "data: {\"error\":{}}\n\n").state(), AnswerState::Errored);
}

TEST(AnswerCheckTest, EngineFrames)
{
    ExpectedAnswer expected;
    expected.m_form = AnswerForm::Engine;
    expected.m_maxTokens = 2;
    expected.m_attempt = "a1";
    const std::string token = "data: {\"attempt\":\"a1\",\"index\":0,\"text\":\"x\",\"n\":2}\n\n";
    const std::string last = "data: {\"attempt\":\"a1\",\"index\":2,\"done\":true,\"tokens\":2,"
                             "\"cached\":1,\"finish\":\"length\"}\n\n";
    AnswerCheck check(expected);
    check.feed(token + last);
    EXPECT_EQ(check.state(), AnswerState::Whole) << check.problem();
    expected.m_attempt = "a2";
    AnswerCheck crossed(expected);
    crossed.feed(token);
    EXPECT_EQ(crossed.state(), AnswerState::Wrong);
}

} // namespace
} // namespace stackquay
