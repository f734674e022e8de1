// Folds three patches in the way a reader of the log does, and prints the outcome of each.
#include <iostream>

#include "pomeloloft/config/fold.hpp"

int main()
{
    using namespace pomeloloft;
    const char* records[] = {
        R"({"id":"1","author":"ana","base":0,"operations":[{"op":"add","path":"/services","value":{"register":{}}}]})",
        R"({"id":"2","author":"bor","base":0,"operations":[{"op":"remove","path":"/services"}]})",
        R"({"id":"3","author":"bor","base":1,"operations":[{"op":"add","path":"/services/register/slots","value":6}]})",
    };
    fold_state state;
    for (const char* record : records) {
        const audit_entry entry = fold_record(state, state.next_offset, record);
        std::cout << entry.author << ": " << name_of(patch_outcome_names, entry.outcome) << " "
                  << entry.reason << "\n";
    }
    std::cout << "version " << state.current->version << ": " << state.current->text << "\n";
}
