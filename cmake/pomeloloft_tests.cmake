find_package(Boost REQUIRED COMPONENTS unit_test_framework)

add_library(pomeloloft_stand_ins STATIC
  test/stand_ins/log_server.cpp
  test/stand_ins/target_server.cpp
  test/stand_ins/fault_proxy.cpp
  test/stand_ins/platform_store.cpp
  test/stand_ins/platform_target.cpp)
target_include_directories(pomeloloft_stand_ins PUBLIC test/stand_ins)
target_link_libraries(pomeloloft_stand_ins PUBLIC pomeloloft_core PRIVATE pomeloloft_warnings)

add_executable(pomeloloft_stand_in test/stand_ins/main.cpp)
target_link_libraries(pomeloloft_stand_in PRIVATE pomeloloft_stand_ins)

set(harness_definitions
  POMELOLOFT_BINARY="$<TARGET_FILE:pomeloloft>" POMELOLOFT_STAND_IN="$<TARGET_FILE:pomeloloft_stand_in>"
  POMELOLOFT_EXAMPLES="${CMAKE_SOURCE_DIR}/examples")

# Library that starts pomeloloft and stand-in processes for tests and tools.
add_library(pomeloloft_harness STATIC
  test/integration/fleet.cpp test/integration/http_client.cpp test/integration/process_usage.cpp
  test/integration/sidecar_fleet.cpp test/integration/crowd.cpp)
target_include_directories(pomeloloft_harness PUBLIC test/integration)
target_link_libraries(pomeloloft_harness PUBLIC pomeloloft_stand_ins PRIVATE pomeloloft_warnings)
target_compile_definitions(pomeloloft_harness PUBLIC ${harness_definitions})

file(GLOB_RECURSE unit_tests CONFIGURE_DEPENDS src/pomeloloft/*_test.cpp platform/*_test.cpp)
if(unit_tests)
  add_executable(pomeloloft_unit_tests test/unit_main.cpp ${unit_tests})
  target_link_libraries(pomeloloft_unit_tests PRIVATE
    pomeloloft_core pomeloloft_wire pomeloloft_harness Boost::unit_test_framework)
  target_compile_definitions(pomeloloft_unit_tests PRIVATE BOOST_TEST_DYN_LINK
    POMELOLOFT_TRACES="${CMAKE_SOURCE_DIR}/test/traces"
    POMELOLOFT_DEPLOY="${CMAKE_SOURCE_DIR}/deploy")
  add_test(NAME unit COMMAND pomeloloft_unit_tests)
  set_tests_properties(unit PROPERTIES TIMEOUT 120)
endif()

# Integration tests run real processes against the stand-ins. Each subject has its own test program, so that ctest can
# run them in parallel.
file(GLOB integration_tests CONFIGURE_DEPENDS test/integration/*_test.cpp)
foreach(source ${integration_tests})
  get_filename_component(name ${source} NAME_WE)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE pomeloloft_harness Boost::unit_test_framework)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 240)
endforeach()
# Measures the memory of a process under many connections; other load would disturb it and be disturbed.
# One row is listed in KNOWN-RED.txt; as a test of its own, the others still count.
set(unread_answers_row a_crowd_of_callers_leaves_a_sidecar_within_its_memory/_9)
set_tests_properties(crowd_test PROPERTIES RUN_SERIAL TRUE TIMEOUT 420
  ENVIRONMENT "BOOST_TEST_RUN_FILTERS=!${unread_answers_row}")
add_test(NAME crowd_unread_answers_test COMMAND crowd_test --run_test=${unread_answers_row})
set_tests_properties(crowd_unread_answers_test PROPERTIES RUN_SERIAL TRUE TIMEOUT 60)
# Makes a test of its own of a case that is listed in KNOWN-RED.txt, so that the others of its program still count.
function(pomeloloft_separate_case name program case)
  set_tests_properties(${program} PROPERTIES ENVIRONMENT "BOOST_TEST_RUN_FILTERS=!${case}")
  add_test(NAME ${name} COMMAND ${program} --run_test=${case})
  set_tests_properties(${name} PROPERTIES TIMEOUT 60)
endfunction()
pomeloloft_separate_case(shutdown_full_slots_test shutdown_test
  planned_shutdown/a_request_read_during_the_grace_period_is_answered_before_the_process_ends/_2)

foreach(tool demo experiment latency load report)
  if(EXISTS ${CMAKE_SOURCE_DIR}/tools/${tool}.cpp)
    add_executable(pomeloloft_${tool} tools/${tool}.cpp)
    target_link_libraries(pomeloloft_${tool} PRIVATE pomeloloft_harness pomeloloft_warnings)
  endif()
endforeach()
target_sources(pomeloloft_experiment PRIVATE tools/fault_scenarios.cpp tools/fleet_samples.cpp)
add_test(NAME demo COMMAND pomeloloft_demo)
set_tests_properties(demo PROPERTIES TIMEOUT 120)
