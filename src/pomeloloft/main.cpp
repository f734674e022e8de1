#include <string>
#include <vector>

#include "pomeloloft/cli/commands.hpp"

int main(int argc, char** argv)
{
    return pomeloloft::run_command(std::vector<std::string>(argv + 1, argv + argc));
}
