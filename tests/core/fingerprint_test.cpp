#include <gtest/gtest.h>

#include "core/core.h"

namespace stackquay {
namespace {

TEST(FingerprintTest, PartsAndTheirBoundsDecide)
{
    const Fingerprint print = fingerprintOf({ "POST", "/a", "one", "body" });
    EXPECT_EQ(print, fingerprintOf({ "POST", "/a", "one", "body" }));
    EXPECT_NE(print, fingerprintOf({ "POST", "/a", "two", "body" }));
    EXPECT_NE(print, fingerprintOf({ "POST", "/a", "onebody", "" }));
    EXPECT_NE(print, fingerprintOf({ "POST", "/a", "one", "bodx" }));
}

TEST(FingerprintTest, TextNamesTheSame)
{
    const Fingerprint print = fingerprintOf({ "x" });
    EXPECT_EQ(fingerprintFrom(toString(print)), print);
    EXPECT_EQ(toString(print).size(), 32u);
    EXPECT_EQ(fingerprintFrom(""), Fingerprint{});
    EXPECT_EQ(fingerprintFrom(std::string(32, 'g')), Fingerprint{});
}

} // namespace
} // namespace stackquay
