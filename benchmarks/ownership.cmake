# Compares the authority policies under the fault model of the decisions library's tests.
set(ownership_model ${PROJECT_SOURCE_DIR}/libs/decisions/tests)
add_executable(ownership_matrix ownership_matrix.cpp ${ownership_model}/ownership_model.cpp
  ${ownership_model}/ownership_check.cpp ${ownership_model}/ownership_faults.cpp)
target_include_directories(ownership_matrix PRIVATE ${ownership_model})
target_link_libraries(ownership_matrix PRIVATE amaranthdale_decisions amaranthdale_clock)
