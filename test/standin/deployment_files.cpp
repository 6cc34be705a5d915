// Writes the files from which the stand-ins and nodes of a deployment start.
//
// Usage: deployment_files lathe|quiosques DIRECTORY [NODES_PER_DATA_CENTRE [BASE_PORT [direct]]]
//
// With `direct`, nodes of different data centres connect without stand-ins for the links.
#include <iostream>

#include "deployment.h"

int main(int argc, char** argv) {
    const std::string name = argc > 1 ? argv[1] : "";
    if (argc < 3 || (name != "lathe" && name != "quiosques")) {
        std::cerr << "usage: deployment_files lathe|quiosques DIRECTORY [NODES_PER_DATA_CENTRE "
                     "[BASE_PORT [direct]]]\n";
        return 2;
    }
    standin::Deployment deployment = name == "lathe" ? standin::lathe() : standin::quiosques();
    if (argc > 3) {
        deployment.nodes_per_data_centre = std::stoi(argv[3]);
    }
    if (argc > 4) {
        deployment.base_port = std::stoi(argv[4]);
    }
    deployment.has_links = argc <= 5;
    standin::write_files(deployment, argv[2]);
    return 0;
}
