#include <gtest/gtest.h>

#include "core/core.h"

namespace stackquay {
namespace {

TEST(FingerprintTest, PartsAndTheirBoundsDecide)
{
    const Fingerprint print = fingerprintOf({ "POST", "/a", "one" }, "body");
    EXPECT_EQ(print, fingerprintOf({ "POST", "/a", "one" }, "body"));
    EXPECT_NE(print, fingerprintOf({ "POST", "/a", "two" }, "body"));
    EXPECT_NE(print, fingerprintOf({ "POST", "/a", "onebody" }, ""));
    EXPECT_NE(print, fingerprintOf({ "POST", "/a", "one" }, "bodx"));
    EXPECT_NE(print, fingerprintOf({ "POST", "/aone", "" }, "body"));
}

TEST(FingerprintTest, OutlineNeedsNoBody)
{
    const uint64_t outline = fingerprintOf({ "POST", "/a", "one" }, "body").m_outline;
    EXPECT_EQ(outline, outlineOf({ "POST", "/a", "one" }, 4));
    EXPECT_EQ(outline, fingerprintOf({ "POST", "/a", "one" }, "bodx").m_outline);
    EXPECT_NE(outline, outlineOf({ "POST", "/a", "one" }, 5));
    EXPECT_NE(outline, outlineOf({ "POST", "/a", "two" }, 4));
}

TEST(FingerprintTest, TextNamesTheSame)
{
    const Fingerprint print = fingerprintOf({ "x" }, "y");
    EXPECT_EQ(fingerprintFrom(toString(print)), print);
    EXPECT_EQ(toString(print).size(), 48u);
    EXPECT_EQ(fingerprintFrom(""), Fingerprint{});
    EXPECT_EQ(fingerprintFrom(std::string(48, 'g')), Fingerprint{});
}

} // namespace
} // namespace stackquay
