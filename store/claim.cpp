#include "store/claim.h"

#include <array>

#include <fmt/format.h>
#include <openssl/evp.h>

#include "core/json_fields.h"

namespace stackquay {

namespace {

constexpr size_t KeyHashBytes = 16;

int64_t toMillis(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

WallTime toWallTime(int64_t millis)
{
    return WallTime(Millis(millis));
}

Json toJson(const Claim &claim)
{
    Json json = { { "key", claim.m_keyHash },
                  { "body", claim.m_bodyHash },
                  { "attempt", claim.m_attempt.str() },
                  { "owner", claim.m_owner.str() },
                  { "created", toMillis(claim.m_created) },
                  { "expires", toMillis(claim.m_expires) } };
    if (claim.m_freed)
        json["freed"] = true;
    if (claim.m_hasOutcome)
        json["outcome"] = claim.m_outcome;
    if (!claim.m_outcomeObject.empty())
        json["outcome_object"] = claim.m_outcomeObject;
    return json;
}

Result<Claim> toClaim(const Json &json)
{
    auto key = stringField(json, "key");
    auto attempt = stringField(json, "attempt");
    const auto expires = intField(json, "expires");
    if (!key || !attempt || !expires)
        return makeError(ErrorCode::ProtocolError, "malformed claim");
    Claim claim;
    claim.m_keyHash = std::move(*key);
    claim.m_bodyHash = stringField(json, "body").value_or("");
    claim.m_attempt = AttemptId(std::move(*attempt));
    claim.m_owner = VmId(stringField(json, "owner").value_or(""));
    claim.m_created = toWallTime(intField(json, "created").value_or(0));
    claim.m_expires = toWallTime(*expires);
    claim.m_freed = boolField(json, "freed");
    auto outcome = stringField(json, "outcome");
    claim.m_hasOutcome = outcome.has_value();
    claim.m_outcome = std::move(outcome).value_or("");
    claim.m_outcomeObject = stringField(json, "outcome_object").value_or("");
    return claim;
}

Result<ClaimSegment> toSegment(const Json &json)
{
    auto object = stringField(json, "object");
    const auto expires = intField(json, "expires");
    if (!object || !expires)
        return makeError(ErrorCode::ProtocolError, "malformed claim segment");
    return ClaimSegment{ std::move(*object), uintField(json, "count").value_or(0),
                         toWallTime(*expires) };
}

Json toJson(const std::vector<Claim> &claims)
{
    Json json = Json::array();
    for (const Claim &claim : claims)
        json.push_back(toJson(claim));
    return json;
}

Result<std::vector<Claim>> toClaims(const Json &json, const char *field)
{
    std::vector<Claim> claims;
    for (const Json &item : arrayField(json, field)) {
        auto claim = toClaim(item);
        if (!claim)
            return tl::unexpected(claim.error());
        claims.push_back(std::move(*claim));
    }
    return claims;
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string hashClaimKey(const CustomerId &customer, const std::string &key)
{
    // The length prefix distinguishes ("ab", "c") from ("a", "bc").
    const std::string text = fmt::format("{}:{}{}", customer.str().size(), customer.str(), key);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (size_t i = 0; i < KeyHashBytes; ++i)
        hex += fmt::format("{:02x}", digest[i]);
    return hex;
}

size_t claimBucketOf(const std::string &keyHash, size_t buckets)
{
    return stableHash(keyHash) % buckets;
}

std::string claimHeadKey(size_t bucket)
{
    return fmt::format("claims/{:05}", bucket);
}

std::string claimSegmentPrefix(size_t bucket)
{
    return fmt::format("claims-segment/{:05}/", bucket);
}

std::string claimOutcomePrefix(size_t bucket)
{
    return fmt::format("claims-outcome/{:05}/", bucket);
}

std::string formatClaimBucket(const ClaimBucket &bucket)
{
    Json segments = Json::array();
    for (const ClaimSegment &segment : bucket.m_segments)
        segments.push_back({ { "object", segment.m_object },
                             { "count", segment.m_count },
                             { "expires", toMillis(segment.m_expires) } });
    return dump({ { "open", toJson(bucket.m_open) }, { "segments", std::move(segments) } });
}

Result<ClaimBucket> parseClaimBucket(const VersionedObject &object)
{
    const auto json = parseJsonObject(object.m_value);
    if (!json || !json->contains("open") || !json->contains("segments"))
        return makeError(ErrorCode::ProtocolError, object.m_key + ": not a claim bucket");
    auto open = toClaims(*json, "open");
    if (!open)
        return tl::unexpected(open.error());
    ClaimBucket bucket{ std::move(*open), {}, object.m_version };
    for (const Json &item : arrayField(*json, "segments")) {
        auto segment = toSegment(item);
        if (!segment)
            return tl::unexpected(segment.error());
        bucket.m_segments.push_back(std::move(*segment));
    }
    return bucket;
}

std::string formatClaims(const std::vector<Claim> &claims)
{
    return dump({ { "claims", toJson(claims) } });
}

Result<std::vector<Claim>> parseClaims(const std::string &text)
{
    const auto json = parseJsonObject(text);
    if (!json || !json->contains("claims"))
        return makeError(ErrorCode::ProtocolError, "not a claim segment");
    return toClaims(*json, "claims");
}

} // namespace stackquay
