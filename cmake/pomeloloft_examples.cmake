foreach(example fold_records choose_endpoint)
  add_executable(example_${example} examples/code/${example}.cpp)
  target_link_libraries(example_${example} PRIVATE pomeloloft_core pomeloloft_warnings)
endforeach()
