#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include "pomeloloft/config/document.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

constexpr int max_depth = 16;

json scalar_to_json(const YAML::Node& node)
{
    // The parser gives quoted scalars the tag `!`; they stay strings, even if they look like a number.
    if (node.Tag() == "!") {
        return node.Scalar();
    }
    if (bool flag = false; YAML::convert<bool>::decode(node, flag)) {
        return flag;
    }
    if (std::uint64_t number = 0; YAML::convert<std::uint64_t>::decode(node, number)) {
        return number;
    }
    if (double number = 0; YAML::convert<double>::decode(node, number)) {
        return number;
    }
    return node.Scalar();
}

error error_at(const std::string& path, const YAML::Mark& mark, const std::string& message)
{
    return {error_code::invalid, path + ":" + std::to_string(mark.line + 1), message};
}

result<json> node_to_json(const YAML::Node& node, const std::string& path, int depth)
{
    if (depth > max_depth) {
        return error_at(path, node.Mark(), "nested too deeply");
    }
    if (node.IsScalar()) {
        return scalar_to_json(node);
    }
    if (node.IsSequence()) {
        json list = json::array();
        for (const YAML::Node& item : node) {
            BOOST_OUTCOME_TRY(auto value, node_to_json(item, path, depth + 1));
            list.push_back(std::move(value));
        }
        return list;
    }
    json object = json::object();
    for (const auto& item : node) {
        const auto key = item.first.Scalar();
        if (object.contains(key)) {
            return error_at(path, item.first.Mark(), "key stands twice: " + key);
        }
        BOOST_OUTCOME_TRY(auto value, node_to_json(item.second, path, depth + 1));
        object[key] = std::move(value);
    }
    return object;
}

} // namespace

result<json> load_declarations(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return error{error_code::not_found, path, "cannot be opened for reading"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > max_document_bytes) {
        return error{error_code::invalid, path, "is larger than 4 MiB"};
    }
    try {
        // JSON is parsed by the YAML parser too, because its nodes carry the line numbers for error messages.
        return node_to_json(YAML::Load(text.str()), path, 0);
    } catch (const YAML::Exception& failure) {
        return error_at(path, failure.mark, failure.msg);
    }
}

} // namespace pomeloloft
