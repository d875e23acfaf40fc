#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const DataCentreId North{ "north" };

TEST(EvacuationsTest, LaterListReplacesTheEarlierOne)
{
    Evacuations own;
    EXPECT_FALSE(own.m_position.known());
    EXPECT_TRUE(mergeEvacuations(own, { { 1, 5 }, { North } }));
    EXPECT_TRUE(own.contains(North));
    EXPECT_FALSE(mergeEvacuations(own, { { 1, 5 }, {} }));
    EXPECT_FALSE(mergeEvacuations(own, { { 1, 4 }, {} }));
    EXPECT_TRUE(own.contains(North));
    EXPECT_TRUE(mergeEvacuations(own, { { 1, 6 }, {} }));
    EXPECT_FALSE(own.contains(North));
}

TEST(EvacuationsTest, ListOfALaterEraReplacesOneOfAHigherRevision)
{
    Evacuations own{ { 1, 900 }, { North } };
    EXPECT_TRUE(mergeEvacuations(own, { { 2, 7 }, {} }));
    EXPECT_FALSE(own.contains(North));
}

TEST(EvacuationsTest, UnknownListChangesNothing)
{
    Evacuations own{ { 0, 3 }, { North } };
    EXPECT_FALSE(mergeEvacuations(own, {}));
    EXPECT_TRUE(own.contains(North));
}

} // namespace
} // namespace stackquay
