// Carries the precompiled headers of the test programs; see CMakeLists.txt.
