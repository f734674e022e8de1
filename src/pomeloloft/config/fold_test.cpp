#include "pomeloloft/config/fold.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/config/patch.hpp"
#include "test/named_row.hpp"
#include "test/nested_json.hpp"

namespace {

using namespace pomeloloft;

struct record_row : testing::named_row {
    const char* record;
    patch_outcome outcome;
    std::uint64_t version;
};

/// Records that are folded in this order, each on top of the previous ones.
const record_row records[] = {
    {"first",
     R"({"id":"a","author":"x","base":0,"operations":[{"op":"add","path":"/services","value":{"s":{}}}]})",
     patch_outcome::accepted, 1},
    {"same base again",
     R"({"id":"b","author":"x","base":0,"operations":[{"op":"remove","path":"/services"}]})",
     patch_outcome::stale, 1},
    {"base above the current version", R"({"id":"c","author":"x","base":9,"operations":[]})",
     patch_outcome::stale, 1},
    {"second operation fails",
     R"({"id":"d","author":"x","base":1,"operations":[{"op":"add","path":"/services/t","value":{}},{"op":"remove","path":"/services/none"}]})",
     patch_outcome::invalid, 1},
    {"resulting document not valid",
     R"({"id":"e","author":"x","base":1,"operations":[{"op":"add","path":"/routes","value":{"r":{"prefix":"/r","methods":["GET"],"service":"gone"}}}]})",
     patch_outcome::invalid, 1},
    {"not JSON", "\x01\x02", patch_outcome::malformed, 1},
    {"no id", R"({"author":"x","base":1,"operations":[]})", patch_outcome::malformed, 1},
    {"accepted id again", R"({"id":"a","author":"x","base":1,"operations":[]})", patch_outcome::duplicate, 1},
    {"next",
     R"({"id":"f","author":"x","base":1,"operations":[{"op":"add","path":"/services/t","value":{}}]})",
     patch_outcome::accepted, 2},
    {"rejected id again", R"({"id":"b","author":"x","base":2,"operations":[]})", patch_outcome::duplicate, 2},
};

fold_state fold_first(std::size_t count)
{
    fold_state state;
    for (std::size_t i = 0; i < count; ++i) {
        fold_record(state, i, records[i].record);
    }
    return state;
}

/// A patch whose operations copy a value into itself, which doubles its depth each time.
std::string self_copying_patch(int copies)
{
    std::string operations = R"({"op":"add","path":"/x","value":{}})";
    std::string deepest = "/x";
    for (int i = 0; i < copies; ++i) {
        operations += R"(,{"op":"copy","from":"/x","path":")" + deepest + R"(/y"})";
        std::string inner = deepest.substr(2);
        deepest += "/y" + inner;
    }
    return R"({"id":"p","author":"x","base":0,"operations":[)" + operations + "]}";
}

struct odd_patch_row : testing::named_row {
    std::string record;
};

const odd_patch_row odd_patch_rows[] = {
    {"deeply nested operations",
     R"({"id":"p","author":"x","base":0,"operations":[{"op":"add","path":"/x","value":)" +
         testing::nested_lists(100'000) + "}]}"},
    {"copies of copies", self_copying_patch(15)},
    {"a number that is too large",
     R"({"id":"p","author":"x","base":0,"operations":[{"op":"add","path":"/x","value":1e999}]})"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(fold)

// Guards against records of another writer that end every proxy which folds the log.
BOOST_DATA_TEST_CASE(an_odd_patch_is_rejected, boost::unit_test::data::make(odd_patch_rows), row)
{
    fold_state state;
    const audit_entry entry = fold_record(state, 0, row.record);
    BOOST_TEST((entry.outcome == patch_outcome::malformed || entry.outcome == patch_outcome::invalid));
    BOOST_TEST(state.current->version == 0U);
}

BOOST_DATA_TEST_CASE(each_record_has_the_expected_outcome, boost::unit_test::data::xrange(std::size(records)),
                     i)
{
    fold_state state = fold_first(i);
    const audit_entry entry = fold_record(state, i, records[i].record);
    BOOST_TEST_INFO(records[i].name << ": " << entry.reason);
    BOOST_TEST(name_of(patch_outcome_names, entry.outcome) ==
               name_of(patch_outcome_names, records[i].outcome));
    BOOST_TEST(state.current->version == records[i].version);
}

BOOST_AUTO_TEST_CASE(a_repeated_id_keeps_its_first_outcome)
{
    fold_state state = fold_first(std::size(records));
    const audit_entry* first = find_audit_entry(state, "a");
    BOOST_REQUIRE(first != nullptr);
    BOOST_TEST(first->version == 1U);
    BOOST_TEST((first->outcome == patch_outcome::accepted));
}

BOOST_DATA_TEST_CASE(a_snapshot_restores_the_state_after_any_record,
                     boost::unit_test::data::xrange(std::size(records)), i)
{
    const fold_state state = fold_first(i);
    auto restored = decode_snapshot(encode_snapshot(state));
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST(restored.value().chain == state.chain);
    BOOST_TEST(restored.value().current->text == state.current->text);
    for (std::size_t next = i; next < std::size(records); ++next) {
        fold_record(restored.value(), next, records[next].record);
    }
    BOOST_TEST(restored.value().chain == fold_first(std::size(records)).chain);
}

BOOST_AUTO_TEST_CASE(a_corrupt_snapshot_is_rejected)
{
    const std::string text = encode_snapshot(fold_first(std::size(records)));
    for (std::size_t at = 0; at < text.size(); at += 7) {
        std::string damaged = text;
        damaged[at] = static_cast<char>(damaged[at] ^ 1);
        BOOST_TEST(!decode_snapshot(damaged).has_value());
        BOOST_TEST(!decode_snapshot(text.substr(0, at)).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
