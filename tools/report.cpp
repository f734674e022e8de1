#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

/// Converts the JSON results of the measurement tools to tab-separated tables for gnuplot, one file per plot.
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

/// Reads the JSON files in a folder whose names begin with `prefix`, ordered by name.
std::vector<json> load_results(const fs::path& folder, const std::string& prefix)
{
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(folder)) {
        const std::string name = entry.path().filename().string();
        if (name.rfind(prefix, 0) == 0 && entry.path().extension() == ".json") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    std::vector<json> out;
    for (const fs::path& file : files) {
        std::ifstream in(file);
        out.push_back(json::parse(in));
    }
    return out;
}

/// Control traffic per proxy in bytes per second while no change is submitted: heartbeats and membership
/// entries.
double idle_bytes_per_second(const json& measurement)
{
    double total = 0;
    for (const auto& [role, values] : measurement.at("idle").at("roles").items()) {
        total += values.at("bytes_per_second").at("mean").get<double>() * values.at("count").get<double>();
    }
    return total / measurement.at("nodes").get<double>();
}

/// Label of a plotted point: the preset and the settings that override it.
std::string series_label(const json& declared)
{
    std::string text = declared.at("preset").get<std::string>();
    for (const char* field : {"fan_out", "heartbeat_ms", "batch_window_ms"}) {
        if (declared.contains(field)) {
            text += std::string(",") + field + "=" + declared.at(field).dump();
        }
    }
    return text;
}

void write_curve(const fs::path& results_folder, const fs::path& tables_folder)
{
    std::ofstream out(tables_folder / "curve.tsv");
    out << "label\tidle_bytes\tlast_ms_p50\tlast_ms_max\tburst_bytes\n";
    for (const json& result : load_results(results_folder, "curve-")) {
        const json& last_proxy_ms = result.at("change").at("last_proxy_ms");
        out << series_label(result.at("declared")) << "\t" << idle_bytes_per_second(result) << "\t"
            << last_proxy_ms.at("p50") << "\t" << last_proxy_ms.at("max") << "\t"
            << result.at("burst").at("config_bytes_per_change_per_proxy") << "\n";
    }
}

void write_slopes(const fs::path& results_folder, const fs::path& tables_folder)
{
    std::ofstream out(tables_folder / "slopes.tsv");
    out << "nodes\trole\tbytes_per_second\tcpu_percent\tlast_ms_p50\n";
    for (const json& result : load_results(results_folder, "tree-convergence-")) {
        for (const auto& [role, values] : result.at("idle").at("roles").items()) {
            out << result.at("nodes") << "\t" << role << "\t" << values.at("bytes_per_second").at("max")
                << "\t" << values.at("cpu_percent").at("max") << "\t"
                << result.at("change").at("last_proxy_ms").at("p50") << "\n";
        }
    }
}

void write_load(const fs::path& results_folder, const fs::path& tables_folder)
{
    std::ofstream out(tables_folder / "load.tsv");
    out << "scenario\tby\tgood_per_second\tpeople_p99_ms\tpeople_lost\n";
    for (const json& run : load_results(results_folder, "load")) {
        for (const json& row : run) {
            const json& interactive = row.at("fault").at("interactive");
            out << row.at("scenario").get<std::string>() << "\t" << row.at("by").get<std::string>() << "\t"
                << row.at("fault").at("good_per_second") << "\t" << interactive.at("p99_ms") << "\t"
                << interactive.at("refused").get<double>() + interactive.at("failed").get<double>() << "\n";
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Writes the tables for the plots from measurement results.", ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> results_folder("figures", "folder with the JSON results", true, "",
                                                         "folder", line);
    TCLAP::UnlabeledValueArg<std::string> tables_folder("tables", "folder that the tables are written to",
                                                        true, "", "folder", line);
    line.parse(argc, argv);
    try {
        fs::create_directories(tables_folder.getValue());
        write_curve(results_folder.getValue(), tables_folder.getValue());
        write_slopes(results_folder.getValue(), tables_folder.getValue());
        write_load(results_folder.getValue(), tables_folder.getValue());
    } catch (const std::exception& error) {
        std::cerr << "pomeloloft_report: " << results_folder.getValue() << ": " << error.what() << "\n";
        return 1;
    }
    return 0;
}
